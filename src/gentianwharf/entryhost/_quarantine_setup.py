"""Connects the quarantine to the rest of an entry host."""

from collections.abc import Mapping
from random import Random
from typing import Any

import msgspec

from gentianwharf.links import dial
from gentianwharf.quarantine import QUARANTINE_PREFIX, Standing
from gentianwharf.relay import ServerConnectionPool
from gentianwharf.store import Item

from ._coordinator import Coordinator
from ._metrics import HostMetrics
from ._page_site import PageResponse
from ._quarantine import HostQuarantine
from ._quarantine_items import QuarantineItems

PAGE_PATH = b"/quarantine"
JSON = b"application/json"


def quarantine_of(
    *,
    coordinator: Coordinator,
    pools: Mapping[str, ServerConnectionPool],
    metrics: HostMetrics,
    reactor: Any,
    rng: Random,
) -> HostQuarantine:
    """Return a host's quarantine, which follows its coordinator.

    ``metrics`` gets its gauges, and the page at ``PAGE_PATH``.
    """
    directory = coordinator.directory
    quarantine = HostQuarantine(
        peers=coordinator.peers,
        entry_of=directory.entry,
        pool_of=pools.get,
        listed=lambda: coordinator.peers.membership.listed,
        knows_hosts=lambda: coordinator.mirror.is_current,
        dial=dial,
        reactor=reactor,
        rng=rng,
    )
    items = QuarantineItems(
        records=quarantine.records,
        store=coordinator.store,
        leadership=coordinator.leadership,
        now_s=reactor.seconds,
    )

    def note_item(key: str, item: Item | None) -> None:
        if key.startswith(QUARANTINE_PREFIX):
            quarantine.suspicions.apply(items.note_item(key, item))

    directory.on_ended = quarantine.note_entry_ended
    coordinator.peers.on_quarantine_message = quarantine.handle
    coordinator.mirror.add_listener(note_item)
    quarantine.on_tick = items.tick
    _add_gauges(metrics, quarantine)
    metrics.pages[PAGE_PATH] = lambda: _page(quarantine)
    return quarantine


def _add_gauges(metrics: HostMetrics, quarantine: HostQuarantine) -> None:
    """Add the gauges of the quarantine."""
    records = quarantine.records
    add = metrics.add_gauge
    add(
        "quarantine_refused_requests",
        "Requests that are refused since servers end under them",
        lambda: len(records.refused()),
    )
    add(
        "quarantine_suspected_requests",
        "Requests under which a server ended, and none was answered wholly since",
        lambda: len(records),
    )
    add(
        "quarantine_server_ends",
        "Ends of servers that this host knows of, since the start",
        lambda: records.ends.count,
    )
    add(
        "quarantine_refusals",
        "Answers to requests that are refused, since the start",
        lambda: quarantine.admission.refusals,
    )
    add(
        "quarantine_waits",
        "Requests that waited for another copy to end, since the start",
        lambda: quarantine.admission.waits,
    )
    add(
        "quarantine_tries",
        "Writes of suspected requests to servers, since the start",
        lambda: quarantine.tries.written,
    )
    add(
        "quarantine_last_tries",
        "Those of them after three servers may have ended, since the start",
        lambda: quarantine.tries.last_chances,
    )
    add(
        "quarantine_withdrawn_tries",
        "Tries of suspected requests that were counted and not written",
        lambda: quarantine.tries.withdrawn,
    )
    add(
        "quarantine_evicted_records",
        "Suspected requests forgotten for want of room, since the start",
        lambda: quarantine.evicted,
    )
    add(
        "quarantine_probes",
        "Connections opened to find out whether a server ended, since the start",
        lambda: quarantine.detector.probes,
    )
    add(
        "quarantine_record_requests",
        "Requests to other hosts for what they know, after a start or a pause",
        lambda: quarantine.exchange.count,
    )
    add(
        "quarantine_direct_news",
        "News that the leader did not pass on in time, since the start",
        lambda: quarantine.news.sent_directly,
    )


def _page(quarantine: HostQuarantine) -> PageResponse:
    """Return the page that lists the requests that are refused or suspected."""
    records = quarantine.records
    requests = [
        {
            "name": record.digest.hex(),
            "standing": str(verdict.standing),
            "retry_after_s": round(verdict.retry_after_s, 3),
            "may_have_ended": record.possible_ends,
            "late_tries": len(record.late_tries()),
            "tries": [
                {
                    "begun_unix_ms": tried.begun_unix_ms,
                    "host": tried.host,
                    "request_id": tried.request_id,
                    "state": tried.state.name.lower(),
                }
                for tried in record.tries.values()
            ],
            "crashes": [
                {
                    "server": crash.incarnation,
                    "ended_unix_ms": crash.ended_unix_ms,
                    "evidence": str(crash.evidence),
                    "host": crash.host,
                    "request_id": crash.request_id,
                    "service": crash.service,
                    "correlated": crash.is_correlated,
                    "alone": crash.is_permitted,
                }
                for crash in record.in_order()
            ],
        }
        for record in records
        if (verdict := records.verdict(record.digest)).standing is not Standing.FREE
    ]
    body = msgspec.json.encode({"requests": requests})
    return PageResponse(body=body, content_type=JSON)
