"""Requests under which backend servers end, and which of them are refused.

This package performs no I/O. ``Book`` keeps the ends of servers by the name of the
request that each of them was running, ``TrialDesk`` lets suspected requests run one at
a time. See ``docs/design/quarantine.md``.
"""

from ._book import MAX_RECORDS, Book
from ._company import COMPANY_S, ServerEnds
from ._name import MAX_PREFIX_BYTES, BodyPrefix, RequestName, head_digest
from ._record import (
    MAX_CRASHES,
    MAX_TRIALS,
    TRIAL_DELAYS_S,
    CrashEvidence,
    Record,
    ServerCrash,
    Standing,
    Verdict,
)
from ._stored import (
    QUARANTINE_PREFIX,
    StoredCrash,
    StoredRequest,
    decode_record,
    encode_record,
)
from ._trials import TrialDesk
from ._whole_runs import WholeRuns

__all__ = [
    "COMPANY_S",
    "MAX_CRASHES",
    "MAX_PREFIX_BYTES",
    "MAX_RECORDS",
    "MAX_TRIALS",
    "QUARANTINE_PREFIX",
    "TRIAL_DELAYS_S",
    "BodyPrefix",
    "Book",
    "CrashEvidence",
    "Record",
    "RequestName",
    "ServerCrash",
    "ServerEnds",
    "Standing",
    "StoredCrash",
    "StoredRequest",
    "TrialDesk",
    "Verdict",
    "WholeRuns",
    "decode_record",
    "encode_record",
    "head_digest",
]
