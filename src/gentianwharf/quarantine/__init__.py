"""Requests under which backend servers end, and which of them are refused.

This package performs no I/O. ``CrashRecords`` keeps the ends of servers by the name of
the request that each of them was running, ``PermitTable`` lets suspected requests run
one at a time. See ``docs/design/quarantine.md``.
"""

from ._crash_records import MAX_RECORDS, CrashRecords
from ._name import MAX_PREFIX_BYTES, BodyPrefix, RequestName, head_digest
from ._permits import PermitTable
from ._record import (
    MAX_CRASHES,
    MAX_LATE_TRIES,
    UNDECIDED_S,
    CrashEvidence,
    PermittedTry,
    Record,
    ServerCrash,
    Standing,
    TryState,
    Verdict,
)
from ._server_ends import CORRELATION_S, ServerEnds
from ._stored import (
    QUARANTINE_PREFIX,
    StoredCrash,
    StoredRequest,
    StoredTry,
    decode_record,
    encode_record,
    encode_released,
)
from ._whole_runs import WholeRuns

__all__ = [
    "CORRELATION_S",
    "MAX_CRASHES",
    "MAX_LATE_TRIES",
    "MAX_PREFIX_BYTES",
    "MAX_RECORDS",
    "QUARANTINE_PREFIX",
    "UNDECIDED_S",
    "BodyPrefix",
    "CrashRecords",
    "CrashEvidence",
    "Record",
    "RequestName",
    "ServerCrash",
    "ServerEnds",
    "Standing",
    "StoredCrash",
    "StoredRequest",
    "StoredTry",
    "TryState",
    "PermitTable",
    "PermittedTry",
    "Verdict",
    "WholeRuns",
    "decode_record",
    "encode_record",
    "encode_released",
    "head_digest",
]
