"""The callers' application: starts an exchange for each request."""

from collections.abc import Callable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import replace
from math import inf
from random import Random
from typing import Any, cast, final

from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH

from gentianwharf.logs import log
from gentianwharf.matching import RequestFacts, RuleMatch, Splitter
from gentianwharf.runs import RunStatus

from ._caller_request import CallerRequest, CatchAllResource
from ._connections import ServerConnectionPool
from ._exchange import Exchange
from ._final_problems import INTERNAL_ERROR, STOPPING_NOT_RUN
from ._header_codec import DefaultHeaderCodec, HeaderCodec
from ._headers import KEY_HEADER, connection_options, request_facts
from ._idempotency import IdempotencyKey, IdempotentRequests
from ._ports import Admission, Observer, Ownership, Rules, Ticket
from ._problem import Problem, write_problem
from ._run_guard import RunGuard, Unguarded

DEFAULT_DEADLINE_MS = 10_000
REQUEST_ID_BITS = 96
# Limit for parts of the request that a problem document quotes.
MAX_QUOTED_BYTES = 80
SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})


@final
class _RelayResource(CatchAllResource):
    """Passes every request to a handler, whatever its path."""

    def __init__(self, *, handler: Callable[[CallerRequest], Any]) -> None:
        super().__init__()
        self._handler = handler

    def serve(self, request: CallerRequest) -> None:
        """Start serving ``request``; cancelled when its caller disconnects."""
        done = cast(Any, maybeDeferred(self._handler, request))
        if not done.called:
            request.notifyFinish().addErrback(lambda _: done.cancel())
        done.addErrback(self._handle_failure, request)

    def _handle_failure(self, failure: Failure, request: CallerRequest) -> None:
        # ``_serve`` and ``Exchange`` respond to their own errors. After any other, part
        # of a response may have been sent, so the connection is aborted.
        log.error("request failed: {}", failure.getTraceback())
        request.abort()


class RelayApp:
    """Serves callers by the rules in force.

    ``rules`` may be replaced at any time; a request continues with the rules that were
    in force when it arrived.
    """

    def __init__(
        self,
        *,
        rules: Rules,
        ownership: Ownership,
        admission: Admission,
        connections: dict[str, ServerConnectionPool],
        observer: Observer,
        deadlines_ms: dict[str, int],
        keyed: AbstractSet[str],
        reactor: Any,
        rng: Random,
        codec: HeaderCodec | None = None,
        run_guard: RunGuard | None = None,
    ) -> None:
        self.rules = rules
        self.in_flight: set[Exchange] = set()
        self.on_first_in_flight: Callable[[], None] = lambda: None
        self.stopping = False
        self._accepts_requests = True
        self._answer_by_s = inf
        self._ownership = ownership
        self._admission = admission
        self.connections = connections
        self._observer = observer
        self._deadlines_ms = deadlines_ms
        self._keyed = keyed
        self._reactor = reactor
        self._rng = rng
        self._last_serial = 0
        self._codec = codec or DefaultHeaderCodec()
        self._run_guard = run_guard or Unguarded()
        self.splitter = Splitter()
        self._idempotent_requests = IdempotentRequests(clock=reactor)

    def resource(self) -> CatchAllResource:
        """Return the root resource of the callers' site."""
        return _RelayResource(handler=self._serve)

    def _serve(self, caller_request: CallerRequest) -> Any:
        request_id = self._codec.request_id(caller_request.requestHeaders)
        if request_id is None:
            request_id = f"{self._rng.getrandbits(REQUEST_ID_BITS):024x}"
        try:
            exchange = self._create_exchange(caller_request, request_id)
        except Problem as problem:
            self._refuse(caller_request, request_id, problem)
            return None
        except Exception:
            log.exception(
                "request failed",
                extra={"request_id": request_id, "step": "begin", "peer": "self"},
            )
            internal_error = replace(INTERNAL_ERROR, run=RunStatus.NOT_RUN)
            self._refuse(caller_request, request_id, internal_error)
            return None
        self.in_flight.add(exchange)
        if len(self.in_flight) == 1:
            self.on_first_in_flight()
        return exchange.start().addBoth(self._remove, exchange)

    def refuse_requests_beyond(self, answer_by_s: float) -> None:
        """Refuse new requests as not run whose deadlines are later than this.

        They might still run when this host ends.
        """
        self._answer_by_s = answer_by_s

    def refuse_new_requests(self) -> None:
        """Refuse the requests that arrive from now on as not run."""
        self._accepts_requests = False

    def answer_in_flight(self) -> None:
        """Send a final response to each request in flight, and refuse new ones."""
        self.refuse_new_requests()
        for exchange in list(self.in_flight):
            exchange.cancel_for_shutdown()

    def _refuse(
        self, request: CallerRequest, request_id: str, problem: Problem
    ) -> None:
        self._observer.record_refusal(request_id, problem)
        write_problem(request, problem, request_id=request_id, codec=self._codec)

    def _remove(self, result: Any, exchange: Exchange) -> Any:
        self.in_flight.discard(exchange)
        return result

    def _create_exchange(self, request: CallerRequest, request_id: str) -> Exchange:
        if not self._accepts_requests:
            raise replace(STOPPING_NOT_RUN)
        hosts = request.requestHeaders.getRawHeaders(b"host")
        if not hosts or len(hosts) != 1:
            raise _bad_request("expected exactly one Host header")
        if _has_length_and_coding(request):
            raise _bad_request("expected Content-Length or Transfer-Encoding, got both")
        if len(set(request.requestHeaders.getRawHeaders(KEY_HEADER) or ())) > 1:
            raise _bad_request("expected one Gentianwharf-Key, got two that differ")
        _check_upgrade(request.requestHeaders)
        _check_length(request)
        facts = request_facts(request.method, request.uri, request.requestHeaders)
        match = self.rules.match(facts)
        if match is None:
            raise Problem(
                status=404,
                title="no rule matches",
                run=RunStatus.NOT_RUN,
                detail=(
                    f"{_quoted_target(facts)}: ask the operators, or use: gentianwharf"
                    " rules explain"
                ),
                step="match",
            )
        if match.rule.then.split:
            match = self.rules.with_service(match, self.splitter.choose_service(match))
        if match.service in self._keyed and match.shard is None:
            raise _bad_request(
                f"service {match.service} is divided by key, and the request has none:"
                " send Gentianwharf-Key or what the rule names"
            )
        ticket = self._ticket(request, match, request_id)
        if ticket.deadline_s > self._answer_by_s:
            raise replace(STOPPING_NOT_RUN)
        return Exchange(
            request=request,
            match=match,
            ticket=ticket,
            ownership=self._ownership,
            admission=self._admission,
            connections=self.connections,
            observer=self._observer,
            codec=self._codec,
            idempotent_requests=self._idempotent_requests,
            idempotency_key=self._idempotency_key(request, match),
            run_guard=self._run_guard,
            reactor=self._reactor,
        )

    def _ticket(
        self, request: CallerRequest, match: RuleMatch, request_id: str
    ) -> Ticket:
        deadline_ms = match.rule.then.deadline_ms or self._deadlines_ms.get(
            match.request_class, DEFAULT_DEADLINE_MS
        )
        timeout_s = self._codec.caller_timeout_s(request.requestHeaders)
        if timeout_s is not None:
            deadline_ms = min(deadline_ms, int(timeout_s * 1000))
        self._last_serial += 1
        now_s = self._reactor.seconds()
        target_ms = match.rule.then.target_latency_ms
        return Ticket(
            request_id=request_id,
            serial=self._last_serial,
            service=match.service,
            request_class=match.request_class,
            caller=_caller_address(request),
            key=match.key,
            shard=match.shard,
            deadline_s=now_s + deadline_ms / 1000,
            target_s=None if target_ms is None else now_s + target_ms / 1000,
            repeatable=match.repeatable,
        )

    def _idempotency_key(
        self, request: CallerRequest, match: RuleMatch
    ) -> IdempotencyKey | None:
        values = request.requestHeaders.getRawHeaders(b"idempotency-key")
        if (
            not values
            or not self._codec.has_idempotency_keys
            or request.method in SAFE_METHODS
        ):
            return None
        target = request.method + b" " + request.uri
        return IdempotencyKey(
            scope=f"{match.service}/{_caller_address(request)}",
            key=values[0].decode("latin-1"),
            fingerprint=target.decode("latin-1"),
        )


def _has_length_and_coding(request: CallerRequest) -> bool:
    # Twisted accepts "Transfer-Encoding: identity" together with a length. A server
    # that parses it differently would disagree on where the next request begins.
    headers = request.requestHeaders
    return headers.hasHeader(b"content-length") and headers.hasHeader(
        b"transfer-encoding"
    )


def _check_length(request: CallerRequest) -> None:
    most_bytes = cast(Any, request.site).limits.most_body_bytes
    if request.body is None or request.body.length is UNKNOWN_LENGTH:
        return
    if most_bytes is not None and request.body.length > most_bytes:
        raise Problem(
            status=413,
            title="the request's body is too large",
            run=RunStatus.NOT_RUN,
            detail=f"expected at most {most_bytes} bytes, got {request.body.length}",
        )


def _check_upgrade(headers: Headers) -> None:
    """Refuse a request to switch the connection to another protocol.

    ``Upgrade`` is not forwarded, so the server would respond as to a plain request and
    the caller would wait for a stream that never opens. Upgrades to HTTP/2 are ignored,
    as RFC 9110, section 7.8, allows: their callers continue with HTTP/1.1.
    """
    values = headers.getRawHeaders(b"upgrade")
    if not values or b"upgrade" not in connection_options(headers):
        return
    protocols = {item.strip().lower() for value in values for item in value.split(b",")}
    if protocols <= {b"h2c", b""}:
        return
    raise Problem(
        status=501,
        title="no upgrade is supported",
        run=RunStatus.NOT_RUN,
        detail=f"Expected a plain HTTP/1.1 request, got Upgrade: {_quoted(values)}",
    )


def _quoted(values: Sequence[bytes]) -> str:
    return b", ".join(values)[:MAX_QUOTED_BYTES].decode("latin-1")


def _quoted_target(facts: RequestFacts) -> str:
    """Return the target without its query, which may contain the caller's data."""
    return f"{facts.method} {facts.host}{facts.path}"[:MAX_QUOTED_BYTES]


def _caller_address(request: CallerRequest) -> str:
    """Return the caller's address as reported by the platform's load balancer.

    The balancer appends the address. Earlier entries come from the caller, who could
    use them to pose as several callers and get several shares.
    """
    values = request.requestHeaders.getRawHeaders(b"x-forwarded-for")
    if values:
        return values[-1].rpartition(b",")[2].strip().decode("latin-1")
    return str(request.getClientAddress().host)


def _bad_request(detail: str) -> Problem:
    return Problem(
        status=400, title="bad request", run=RunStatus.NOT_RUN, detail=detail
    )
