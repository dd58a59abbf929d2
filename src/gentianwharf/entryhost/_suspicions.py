"""What follows on a host once a request is suspected, or refused."""

from collections.abc import Iterable
from typing import final

from gentianwharf.logs import log
from gentianwharf.quarantine import (
    MAX_RECORDS,
    CrashRecords,
    Record,
    RequestName,
)

from ._guarded_run import HostGuardedRun


@final
class Suspicions:
    """Recalls copies in flight, and logs each request that is refused from now on."""

    def __init__(self, *, records: CrashRecords) -> None:
        self.runs: set[HostGuardedRun] = set()
        """The requests that this host serves."""
        self._records = records
        self._logged: set[bytes] = set()

    def apply(self, names: Iterable[RequestName]) -> None:
        """Act on news about requests."""
        digests = {name.digest for name in names}
        if not digests:
            return
        self._recall_copies(digests)
        for digest in digests:
            record = self._records.record(digest)
            if record is not None and record.is_refused:
                self._log_refused(record)

    def _recall_copies(self, digests: set[bytes]) -> None:
        for run in list(self.runs):
            if run.permit is not None or not self._records.has_head(run.head):
                continue
            name = run.name
            if name is None or name.digest not in digests:
                continue
            record = self._records.record(name.digest)
            is_refused = record is not None and record.is_convicted
            if run.exchange.ticket.repeatable or is_refused:
                run.exchange.recall()

    def forget(self, digest: bytes) -> None:
        """Log a request again if it is refused again."""
        self._logged.discard(digest)

    def _log_refused(self, record: Record) -> None:
        self._records.verdict(record.digest)
        if record.digest in self._logged:
            return
        if len(self._logged) >= MAX_RECORDS:
            self._logged.clear()
        self._logged.add(record.digest)
        crashes = record.in_order()
        log.warning(
            "request refused from now on: servers end under it",
            extra={
                "name": record.digest.hex(),
                "servers": [crash.incarnation for crash in crashes],
                "request_ids": [crash.request_id for crash in crashes],
                "correlated": all(crash.is_correlated for crash in crashes),
            },
        )
