"""Queries to many hosts, bounded in concurrency, bytes and time.

They serve operators' requests about the whole fleet. Hosts answer from memory, without
store calls. A host that does not answer is reported with the reason, so that a missing
answer is never mistaken for agreement.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import final

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from gentianwharf.errors import GentianwharfError, PeerMismatchError

from ._packing import pack, unpack
from ._system import PeerTransport

FORMAT_VERSION = 1

MAX_UNANSWERED_HOSTS = 64
"""Maximum number of unanswered hosts; bounds the data that arrives in one iteration of
the event loop. Two deployments of current size fit, so that hosts that don't answer
don't delay the others."""

RESEND_INTERVAL_S = 0.25
"""Interval between repetitions of a query. A message may be lost, and the first one to
a host waits for the connection."""

CHECK_INTERVAL_S = 0.05

NUMBER_BITS = 48

MAX_ANSWER_BYTES = 256_000
"""Maximum size of a packed answer. The largest one, a burn with all entries in use, has
about a tenth of this."""

MAX_GATHERED_BYTES = 32_000_000
"""Maximum size of all packed answers to a query; no more hosts are asked beyond it."""

MAX_ARGUMENT_CHARACTERS = 256

QueryHandler = Callable[[str], bytes]
"""Called with the argument of a query; returns the answer."""

OnAnswer = Callable[[str, bytes], None]


@final
class Query(msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag="query"):
    """A query of a kind; its reply has the same ``number``."""

    number: int
    kind: str
    argument: str = ""


@final
class Reply(msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag="reply"):
    """The reply to a ``Query``; ``problem`` is the reason if ``packed`` is empty."""

    number: int
    packed: bytes = b""
    problem: str = ""


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Query | Reply] = msgspec.msgpack.Decoder(
    Query | Reply
)


def encode_query(message: Query | Reply) -> bytes:
    """Return the wire format of a message."""
    return bytes([FORMAT_VERSION]) + _encoder.encode(message)


def decode_query(data: bytes, *, peer: str) -> Query | Reply:
    """Decode and validate a message; raises ``PeerMismatchError``."""
    if data[:1] != bytes([FORMAT_VERSION]):
        raise PeerMismatchError(
            f"expected format {FORMAT_VERSION}, got {data[:1]!r}; is the peer of"
            " another version?",
            step="decode query",
            peer=peer,
        )
    try:
        return _decoder.decode(memoryview(data)[1:])
    except msgspec.MsgspecError as error:
        raise PeerMismatchError(
            f"expected a query or its reply: {error}", step="decode query", peer=peer
        ) from error


@final
@dataclass(kw_only=True, slots=True)
class _RunningQuery:
    """A query whose answers are being collected."""

    number: int
    kind: str
    argument: str
    on_answer: OnAnswer
    host_timeout_s: float
    end_s: float
    remaining: deque[str]
    done: Deferred[None]
    first_sent_s: dict[str, float] = field(default_factory=dict)
    resend_s: dict[str, float] = field(default_factory=dict)
    failures: dict[str, str] = field(default_factory=dict)
    gathered_bytes: int = 0
    next_step: IDelayedCall | None = None


@final
class PeerQueries:
    """Sends queries to other hosts, and answers theirs.

    ``register_handler`` sets the handler for a kind of query.
    """

    def __init__(
        self, *, clock: IReactorTime, peers: PeerTransport, rng: Random
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._handlers: dict[str, QueryHandler] = {}
        self._running: dict[int, _RunningQuery] = {}
        # Random at each start, so that late replies to queries from before a restart
        # are ignored.
        self._last_number = rng.getrandbits(NUMBER_BITS)
        self.malformed = 0

    def register_handler(self, kind: str, handler: QueryHandler) -> None:
        """Answer queries of ``kind`` with the result of ``handler``."""
        self._handlers[kind] = handler

    async def gather(
        self,
        kind: str,
        host_ids: Iterable[str],
        *,
        argument: str = "",
        on_answer: OnAnswer,
        host_timeout_s: float,
        timeout_s: float,
    ) -> dict[str, str]:
        """Query hosts; return those without a valid answer, each with the reason.

        ``on_answer`` is called with each answer on arrival, so that answers need not be
        stored. If it raises ``GentianwharfError``, the message becomes the reason.
        """
        self._last_number += 1
        running = _RunningQuery(
            number=self._last_number,
            kind=kind,
            argument=argument,
            on_answer=on_answer,
            host_timeout_s=host_timeout_s,
            end_s=self._clock.seconds() + timeout_s,
            remaining=deque(host_ids),
            done=Deferred(),
        )
        self._running[running.number] = running
        try:
            self._check(running)
            await running.done
        finally:
            # Also runs if the operator disconnected and the query was cancelled.
            del self._running[running.number]
            if running.next_step is not None and running.next_step.active():
                running.next_step.cancel()
        return running.failures

    def received(self, host_id: str, message: bytes) -> None:
        """Handle a message from a host; malformed ones are counted and dropped."""
        try:
            decoded = decode_query(message, peer=host_id)
        except PeerMismatchError:
            self.malformed += 1
            return
        if isinstance(decoded, Query):
            self._peers.send(host_id, encode_query(self._reply(decoded)))
        else:
            self._on_reply(host_id, decoded)

    def _reply(self, query: Query) -> Reply:
        handler = self._handlers.get(query.kind)
        if handler is None:
            return Reply(
                number=query.number,
                problem=f"the host knows no question {query.kind[:40]!r}; is it of"
                " another version?",
            )
        if len(query.argument) > MAX_ARGUMENT_CHARACTERS:
            return Reply(
                number=query.number,
                problem=f"expected at most {MAX_ARGUMENT_CHARACTERS} characters to ask"
                f" for, got {len(query.argument)}",
            )
        packed = pack(handler(query.argument))
        if len(packed) > MAX_ANSWER_BYTES:
            return Reply(
                number=query.number,
                problem=f"the answer has {len(packed)} bytes, at most"
                f" {MAX_ANSWER_BYTES} are sent; ask the host alone",
            )
        return Reply(number=query.number, packed=packed)

    def _on_reply(self, host_id: str, reply: Reply) -> None:
        running = self._running.get(reply.number)
        if running is None or host_id not in running.first_sent_s:
            # A late or duplicate reply: the result for this host is already final.
            return
        self._discard(running, host_id)
        running.gathered_bytes += len(reply.packed)
        if reply.problem:
            running.failures[host_id] = reply.problem[:500]
        else:
            self._handle_answer(running, host_id, reply.packed)
        self._send_next(running)
        self._end_if_done(running)

    def _handle_answer(
        self, running: _RunningQuery, host_id: str, packed: bytes
    ) -> None:
        try:
            running.on_answer(host_id, unpack(packed, peer=host_id))
        except GentianwharfError as error:
            running.failures[host_id] = error.message

    def _check(self, running: _RunningQuery) -> None:
        now_s = self._clock.seconds()
        for host_id in list(running.first_sent_s):
            if now_s >= running.first_sent_s[host_id] + running.host_timeout_s:
                self._discard(running, host_id)
                running.failures[host_id] = (
                    f"no answer within {running.host_timeout_s:g} s"
                )
            elif now_s >= running.resend_s[host_id]:
                self._send_query(running, host_id)
        self._send_next(running)
        if now_s >= running.end_s:
            self._expire(running)
        running.next_step = None
        self._end_if_done(running)
        if not running.done.called:
            running.next_step = self._clock.callLater(
                CHECK_INTERVAL_S, self._check, running
            )

    def _send_next(self, running: _RunningQuery) -> None:
        while running.remaining and len(running.first_sent_s) < MAX_UNANSWERED_HOSTS:
            host_id = running.remaining.popleft()
            if running.gathered_bytes >= MAX_GATHERED_BYTES:
                running.failures[host_id] = "not asked: the answers of others are"
                running.failures[host_id] += f" {MAX_GATHERED_BYTES} bytes already"
                continue
            running.first_sent_s[host_id] = self._clock.seconds()
            self._send_query(running, host_id)

    def _send_query(self, running: _RunningQuery, host_id: str) -> None:
        running.resend_s[host_id] = self._clock.seconds() + RESEND_INTERVAL_S
        query = Query(
            number=running.number,
            kind=running.kind,
            argument=running.argument,
        )
        self._peers.send(host_id, encode_query(query))

    def _discard(self, running: _RunningQuery, host_id: str) -> None:
        del running.first_sent_s[host_id], running.resend_s[host_id]

    def _expire(self, running: _RunningQuery) -> None:
        for host_id in list(running.first_sent_s):
            self._discard(running, host_id)
            running.failures[host_id] = "no answer before the time for all was over"
        for host_id in running.remaining:
            running.failures[host_id] = "not asked: the time for all was over"
        running.remaining.clear()

    def _end_if_done(self, running: _RunningQuery) -> None:
        if (
            not running.first_sent_s
            and not running.remaining
            and not running.done.called
        ):
            running.done.callback(None)
