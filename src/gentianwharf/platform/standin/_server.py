"""A stand-in for a backend server, with request slots, a queue and held keys."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from math import inf
from random import Random
from typing import Any, final

import msgspec
from twisted.internet.task import deferLater
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from gentianwharf.logs import log
from gentianwharf.store import Change, Put, Store

from .._config import SHARD_HEADER
from .._servers import SERVERS_PREFIX, ServerState
from .._units import decode_time_s, encode_time
from ._held_shards import HeldShards, Order
from ._late_orders import LateKind, LateOrders
from ._records import Arrival, BodyReport, HoldChange, RequestRun, ServerSpec
from ._rejections import STATUS_SERVER_ERROR, STATUS_UNAVAILABLE
from ._uploads import BodyCheck, EarlyAnswer, StandInRequest, draw_early_answer

HEARTBEAT_S = 0.8
LEASE_HEARTBEATS = 3
"""Number of missed heartbeats after which a server's entry expires."""

EXIT_CRASHED = 70
"""Exit code of a process that a request has ended."""

QUEUE_PER_SLOT = 4
USUAL_SPEED_PERCENT = 100
"""The stand-in shares its machine with nobody, so that it is never slowed down."""

STATUS_BAD_REQUEST = 400
STATUS_STALE_TOKEN = 409
STATUS_OTHER_SERVER = 421


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _Work:
    request: Request
    request_id: str
    shard: int | None
    begun_s: float = 0.0
    held_until_s: float = inf
    """Expiry of the grant of its shard, as of the start of the work."""
    timer: Any = None


@final
class StandInServer(Resource):
    """One instance of a backend server.

    It calls ``on_arrival`` for each request, ``on_begin`` once it begins to run one,
    then ``on_run`` for each that it ran, and ``on_refused`` for each other one. It
    calls ``on_body`` for each upload, at the end of its body or of its connection, and
    ``on_hold_change`` for each grant and release that is carried out.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, *, spec: ServerSpec, reactor: Any, rng: Random) -> None:
        super().__init__()
        self.spec = spec
        self.listed_as = spec.address
        self.lost_share = spec.lost_share
        self.on_arrival: Callable[[Arrival], None] = lambda arrival: None
        self.on_begin: Callable[[Request], None] = lambda request: None
        self.on_run: Callable[[RequestRun], None] = lambda run: None
        self.on_refused: Callable[[str], None] = lambda request_id: None
        self.on_body: Callable[[BodyReport], None] = lambda report: None
        self.on_hold_change: Callable[[HoldChange], None] = lambda change: None
        self.rejection: Callable[[Request], int] = lambda request: 0
        """The status of a request that it does not run, 0 if it runs it."""
        self.state = ServerState.READY
        self.max_requests_per_s: float | None = None
        """The limit for all hosts together that each answer names, None for none."""
        self.announces_leaving = False
        """Whether each answer states that the server leaves; its entry may not yet."""
        self.rest_s: float | None = None
        """While it is set, each request is refused, and rest asked for this time."""
        self._reactor = reactor
        self._rng = rng
        # Uploads must not change the other random choices of a seed.
        self._uploads_rng = Random(f"{spec.id} {spec.born_ms}")
        late_rng = Random(f"{spec.id} {spec.born_ms} late")
        self.late_orders = LateOrders(reactor=reactor, rng=late_rng)
        self._held_shards = HeldShards()
        self._running: dict[str, _Work] = {}
        self._waiting: deque[_Work] = deque()
        self._releases: list[tuple[Order, Request]] = []
        self._sequence = 0
        self._is_withdrawn = False
        self._started_s = reactor.seconds()

    def site(self) -> Site:
        """Return the HTTP site of the server."""
        site = Site(self, requestFactory=StandInRequest, reactor=self._reactor)
        site.noisy = False
        return site

    # The server's entry in the store.

    async def maintain_entry(self, store: Store) -> None:
        """Renew the server's entry in the store until ``withdraw``, also after errors.

        A store's client may turn a cancellation into an error, so that cancelling the
        result is not enough.
        """
        lease_id = 0
        while not self._is_withdrawn:
            try:
                if not lease_id:
                    lease_id = await store.open_lease(HEARTBEAT_S * LEASE_HEARTBEATS)
                else:
                    await store.renew_lease(lease_id)
                await store.change(Change(puts=(self.entry(lease_id),)))
            except Exception as error:
                log.info("can't renew the server entry: {}", error)
                lease_id = 0
            await deferLater(self._reactor, HEARTBEAT_S)

    def withdraw(self) -> None:
        """Let the server's entry in the store expire."""
        self._is_withdrawn = True

    def entry(self, lease_id: int) -> Put:
        """Return a put of the server's entry, which expires with the lease."""
        spec = self.spec
        self._sequence += 1
        entry = {
            "service": spec.service,
            "address": self.listed_as,
            "zone": spec.domain,
            "version": "v1",
            "slots": spec.slots,
            "state": self.state.value,
            "cold-remaining": encode_time(self._cold_remaining_s()),
            "sequence": self._sequence,
            "born": spec.born_ms,
        }
        value = msgspec.json.encode(entry)
        return Put(key=SERVERS_PREFIX + spec.id, value=value, lease_id=lease_id)

    # Grants and releases.

    def render(self, request: StandInRequest) -> Any:
        """Handle a grant, a release or a health check, or run a request."""
        path = request.path
        if path == b"/v1/grant":
            return self._grant(request)
        if path == b"/v1/release":
            return self._release(request)
        if path == b"/health":
            request.setHeader(b"Instance-Id", self.spec.id.encode())
            self._add_notice(request)
            if self.spec.reports_slowdown:
                cold_ms = b"%d" % round(self._cold_remaining_s() * 1000)
                request.setHeader(b"Cold-Remaining-Ms", cold_ms)
                request.setHeader(b"Server-Load", self._load())
            return b""
        self._accept(request)
        return NOT_DONE_YET

    def _decode_order(self, request: Request) -> Order | None:
        if self._expects_other_server(request):
            request.setResponseCode(STATUS_OTHER_SERVER)
            return None
        try:
            return msgspec.json.decode(_content(request), type=Order)
        except msgspec.DecodeError:
            request.setResponseCode(STATUS_BAD_REQUEST)
            return None

    def _grant(self, request: Request) -> Any:
        order = self._decode_order(request)
        if order is None:
            return b""
        grant = partial(self._hold, order, self._reactor.seconds())
        if self.late_orders.delays(LateKind.GRANTS, partial(grant, is_late=True)):
            return NOT_DONE_YET
        if not grant():
            request.setResponseCode(STATUS_STALE_TOKEN)
        return b""

    def _hold(self, order: Order, arrived_s: float, *, is_late: bool = False) -> bool:
        """Carry out a grant, whose time counts from its arrival."""
        until_s = arrived_s + decode_time_s(order.hold_time)
        if not self._held_shards.grant(
            order.first, order.last, token=order.fence, until_s=until_s
        ):
            return False
        self._report_hold_change(order, arrived_s, until_s, is_late)
        return True

    def _stop_holding(
        self, order: Order, arrived_s: float, *, is_late: bool = False
    ) -> None:
        """Carry out a release, which ends no running work."""
        self._held_shards.release(order.first, order.last, token=order.fence)
        self._report_hold_change(order, arrived_s, 0.0, is_late)

    def _report_hold_change(
        self, order: Order, arrived_s: float, until_s: float, is_late: bool
    ) -> None:
        self.on_hold_change(
            HoldChange(
                server=self.spec.id,
                service=self.spec.service,
                born_ms=self.spec.born_ms,
                first=order.first,
                last=order.last,
                token=order.fence,
                arrived_s=arrived_s,
                carried_out_s=self._reactor.seconds(),
                until_s=until_s,
                is_late=is_late,
            )
        )

    def _release(self, request: Request) -> Any:
        order = self._decode_order(request)
        if order is None:
            return b""
        release = partial(self._stop_holding, order, self._reactor.seconds())
        if self.late_orders.delays(LateKind.RELEASES, partial(release, is_late=True)):
            return NOT_DONE_YET
        release()
        request.setHeader(b"Handover", f"{self.spec.id}-{order.fence}".encode())
        if not self._is_running(order):
            return b""
        self._releases.append((order, request))
        request.notifyFinish().addErrback(lambda _: self._remove_release(request))
        return NOT_DONE_YET

    def _remove_release(self, request: Request) -> None:
        self._releases = [
            release for release in self._releases if release[1] is not request
        ]

    def _is_running(self, order: Order) -> bool:
        return any(
            work.shard is not None and order.first <= work.shard <= order.last
            for work in self._running.values()
        )

    def _expects_other_server(self, request: Request) -> bool:
        expected = request.getHeader("expected-instance")
        return expected is not None and expected != self.spec.id

    # Requests.

    def _accept(self, request: StandInRequest) -> None:
        request_id = request.getHeader("attempt-id") or ""
        shard = request.getHeader(SHARD_HEADER)
        work = _Work(
            request=request,
            request_id=request_id,
            shard=int(shard) if shard is not None else None,
        )
        request.notifyFinish().addErrback(lambda _: self._cancel(work))
        if request.check is None:
            self._note_arrival(request, request_id)
        if not request_id:
            self._refuse(work, STATUS_BAD_REQUEST)
        elif self._expects_other_server(request) or not self._may_run(work):
            self._refuse(work, STATUS_OTHER_SERVER)
        elif self.rest_s is not None:
            request.setHeader(b"Retry-After", f"{self.rest_s}".encode())
            self._refuse(work, STATUS_UNAVAILABLE)
        elif status := self.rejection(request):
            self._refuse(work, status)
        elif len(self._running) < self.spec.slots:
            self._run(work)
        elif len(self._waiting) < self.spec.slots * QUEUE_PER_SLOT:
            self._waiting.append(work)
        else:
            self._refuse(work, STATUS_UNAVAILABLE)

    def _note_arrival(self, request: Request, request_id: str) -> None:
        self.on_arrival(
            Arrival(
                server=self.spec.id,
                service=self.spec.service,
                request_id=request_id,
                arrived_s=self._reactor.seconds(),
                deadline_ms=_deadline_ms(request),
            )
        )

    def _may_run(self, work: _Work) -> bool:
        return work.shard is None or self._held_shards.is_held(
            work.shard, self._reactor.seconds()
        )

    def begin_upload(self, request: StandInRequest, check: BodyCheck) -> None:
        """Decide whether to answer an upload before its end."""
        self._note_arrival(request, check.request_id)
        if self.rest_s is None and not self._expects_other_server(request):
            request.early_answer = draw_early_answer(
                self._uploads_rng,
                share=self.spec.early_share,
                body_bytes=check.body_bytes,
            )

    def end_upload(self, check: BodyCheck, *, has_ended: bool) -> None:
        """Report how much of an upload was received."""
        self.on_body(
            BodyReport(
                server=self.spec.id,
                request_id=check.request_id,
                body_bytes=check.body_bytes,
                received_bytes=check.received_bytes,
                has_ended=has_ended,
                changed_at_byte=check.changed_at_byte,
            )
        )

    def answer_upload(
        self, request: StandInRequest, check: BodyCheck, kind: EarlyAnswer
    ) -> None:
        """Answer an upload before its end."""
        work = _Work(request=request, request_id=check.request_id, shard=None)
        work.begun_s = self._reactor.seconds()
        self._with_headers(work)
        if kind is EarlyAnswer.REFUSE:
            self.on_refused(check.request_id)
            request.setHeader(b"Not-Executed", b"1")
            request.answer_early(b"503 Service Unavailable", b"")
            return
        self._report_run(work, is_whole=True)
        request.setHeader(b"Response-Signature", self.spec.id.encode())
        request.answer_early(b"200 OK", check.request_id.encode() + b" early")

    def _run(self, work: _Work) -> None:
        work.begun_s = self._reactor.seconds()
        if work.shard is not None:
            work.held_until_s = self._held_shards.held_until_s(work.shard)
        # An attempt that reaches the server twice is run and reported twice.
        self._running[f"{work.request_id}/{work.begun_s}"] = work
        delay_s = self.spec.work_s * self._rng.uniform(0.5, 1.5)
        work.timer = self._reactor.callLater(delay_s, self._complete, work)
        self.on_begin(work.request)

    def _complete(self, work: _Work) -> None:
        # A release waits for running work; a renewal does not extend its expiry.
        is_whole = self._reactor.seconds() < work.held_until_s
        self._finish_run(work, is_whole=is_whole)
        if self._rng.random() < self.lost_share:
            work.request.loseConnection()
            return
        body = work.request_id.encode() + b" " + _content(work.request)[:64]
        request = self._with_headers(work)
        if is_whole:
            request.setHeader(b"Response-Signature", self.spec.id.encode())
        else:
            request.setResponseCode(STATUS_SERVER_ERROR)
        request.write(body)
        request.finish()

    def _finish_run(self, work: _Work, *, is_whole: bool) -> None:
        del self._running[f"{work.request_id}/{work.begun_s}"]
        self._report_run(work, is_whole=is_whole)
        self._finish_releases()
        self._run_next()

    def _report_run(self, work: _Work, *, is_whole: bool) -> None:
        self.on_run(
            RequestRun(
                server=self.spec.id,
                request_id=work.request_id,
                shard=work.shard,
                begun_s=work.begun_s,
                ended_s=self._reactor.seconds(),
                is_whole=is_whole,
            )
        )

    def _run_next(self) -> None:
        while self._waiting and len(self._running) < self.spec.slots:
            work = self._waiting.popleft()
            if self._may_run(work):
                self._run(work)
            else:
                self._refuse(work, STATUS_OTHER_SERVER)

    def _finish_releases(self) -> None:
        for order, request in list(self._releases):
            if not self._is_running(order):
                self._remove_release(request)
                request.finish()

    def _cancel(self, work: _Work) -> None:
        """Cancel a queued or running request whose client has disconnected."""
        if work in self._waiting:
            self._waiting.remove(work)
        elif work.timer is not None and work.timer.active():
            work.timer.cancel()
            self._finish_run(work, is_whole=False)

    def _refuse(self, work: _Work, status: int) -> None:
        self.on_refused(work.request_id)
        request = self._with_headers(work)
        request.setResponseCode(status)
        if status != STATUS_SERVER_ERROR:
            request.setHeader(b"Not-Executed", b"1")
        request.setHeader(b"Content-Length", b"0")
        request.finish()

    def _with_headers(self, work: _Work) -> Request:
        work.request.setHeader(b"Attempt-Id", work.request_id.encode())
        work.request.setHeader(b"Server-Load", self._load())
        self._add_notice(work.request)
        return work.request

    def _add_notice(self, request: Request) -> None:
        if self.announces_leaving:
            request.setHeader(b"Server-Leaving", b"1")
        if self.max_requests_per_s is not None:
            request.setHeader(b"Server-Limit", f"{self.max_requests_per_s}".encode())

    def _load(self) -> bytes:
        load = f"{len(self._running)},{len(self._waiting)},{self.spec.slots}"
        if self.spec.reports_slowdown:
            load += f",{USUAL_SPEED_PERCENT}"
        return load.encode()

    def _cold_remaining_s(self) -> float:
        started_s = self._reactor.seconds() - self._started_s
        return max(0.0, self.spec.cold_s - started_s)


def _deadline_ms(request: Request) -> int | None:
    deadline = request.getHeader("deadline-ms")
    return int(deadline) if deadline is not None else None


def _content(request: Request) -> bytes:
    return request.content.read() if request.content is not None else b""
