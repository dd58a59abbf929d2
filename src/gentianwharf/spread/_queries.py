"""Questions to many hosts at once, bounded in hosts, bytes and time.

For what an operator asks of the whole fleet. The hosts answer from what they hold, so
that it costs the store nothing. A host that does not answer is named with the reason:
a silent host must never look like one that agrees.
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

ASKED_AT_ONCE = 64
"""Hosts that have not answered yet; bounds what arrives in one turn of the loop. Two
deployments of today's size fit, so that silent hosts hold up nobody else."""

ASK_AGAIN_S = 0.25
"""A message may be lost, and the first to a host waits for its link to be made."""

STEP_S = 0.05

NUMBER_BITS = 48

MAX_ANSWER_BYTES = 256_000
"""A host's answer as it travels. The largest, a burn with every place taken, has about
a tenth of that."""

MOST_GATHERED_BYTES = 32_000_000
"""All answers to one question as they travel; hosts beyond it are not asked."""

MOST_ARGUMENT_CHARACTERS = 256

Answerer = Callable[[str], bytes]
"""Gets the question's argument."""

OnAnswer = Callable[[str, bytes], None]


@final
class Query(msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag="query"):
    """Asks for what ``kind`` names; the answer carries the same ``number``."""

    number: int
    kind: str
    argument: str = ""


@final
class Reply(msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag="reply"):
    """Answers a ``Query``; ``problem`` says why ``packed`` is empty."""

    number: int
    packed: bytes = b""
    problem: str = ""


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Query | Reply] = msgspec.msgpack.Decoder(
    Query | Reply
)


def encode_query(message: Query | Reply) -> bytes:
    """Return a message as it goes to a peer."""
    return bytes([FORMAT_VERSION]) + _encoder.encode(message)


def decode_query(data: bytes, *, peer: str) -> Query | Reply:
    """Check and return a message; raises ``PeerMismatchError``."""
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
class _Gathering:
    """One question on its way."""

    number: int
    kind: str
    argument: str
    on_answer: OnAnswer
    host_timeout_s: float
    end_s: float
    waiting: deque[str]
    done: Deferred[None]
    asked_s: dict[str, float] = field(default_factory=dict)
    again_s: dict[str, float] = field(default_factory=dict)
    silent: dict[str, str] = field(default_factory=dict)
    gathered_bytes: int = 0
    next_step: IDelayedCall | None = None


@final
class PeerQueries:
    """Asks other hosts, and answers what they ask.

    ``register_handler`` names what this host answers to a kind of question.
    """

    def __init__(
        self, *, clock: IReactorTime, peers: PeerTransport, rng: Random
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._answerers: dict[str, Answerer] = {}
        self._running: dict[int, _Gathering] = {}
        # Drawn at each start: a late reply to this host's earlier life is none now.
        self._last_number = rng.getrandbits(NUMBER_BITS)
        self.malformed = 0

    def register_handler(self, kind: str, answerer: Answerer) -> None:
        """Answer questions of ``kind`` with what ``answerer`` returns."""
        self._answerers[kind] = answerer

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
        """Ask hosts; return those that did not answer well, each with the reason.

        ``on_answer`` is called with each host's answer as it comes, so that answers
        need not be kept; what it raises becomes the host's reason.
        """
        self._last_number += 1
        gathering = _Gathering(
            number=self._last_number,
            kind=kind,
            argument=argument,
            on_answer=on_answer,
            host_timeout_s=host_timeout_s,
            end_s=self._clock.seconds() + timeout_s,
            waiting=deque(host_ids),
            done=Deferred(),
        )
        self._running[gathering.number] = gathering
        try:
            self._step(gathering)
            await gathering.done
        finally:
            # Also when the operator hung up and this was cancelled.
            del self._running[gathering.number]
            if gathering.next_step is not None and gathering.next_step.active():
                gathering.next_step.cancel()
        return gathering.silent

    def received(self, host_id: str, message: bytes) -> None:
        """Handle a message of another host; a malformed one is counted and dropped."""
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
        answerer = self._answerers.get(query.kind)
        if answerer is None:
            return Reply(
                number=query.number,
                problem=f"the host knows no question {query.kind[:40]!r}; is it of"
                " another version?",
            )
        if len(query.argument) > MOST_ARGUMENT_CHARACTERS:
            return Reply(
                number=query.number,
                problem=f"expected at most {MOST_ARGUMENT_CHARACTERS} characters to ask"
                f" for, got {len(query.argument)}",
            )
        packed = pack(answerer(query.argument))
        if len(packed) > MAX_ANSWER_BYTES:
            return Reply(
                number=query.number,
                problem=f"the answer has {len(packed)} bytes, at most"
                f" {MAX_ANSWER_BYTES} are sent; ask the host alone",
            )
        return Reply(number=query.number, packed=packed)

    def _on_reply(self, host_id: str, reply: Reply) -> None:
        gathering = self._running.get(reply.number)
        if gathering is None or host_id not in gathering.asked_s:
            # Late, or twice: the host has its place in the result already.
            return
        self._forget(gathering, host_id)
        gathering.gathered_bytes += len(reply.packed)
        if reply.problem:
            gathering.silent[host_id] = reply.problem[:500]
        else:
            self._take(gathering, host_id, reply.packed)
        self._ask_next(gathering)
        self._end_if_done(gathering)

    def _take(self, gathering: _Gathering, host_id: str, packed: bytes) -> None:
        try:
            gathering.on_answer(host_id, unpack(packed, peer=host_id))
        except GentianwharfError as error:
            gathering.silent[host_id] = error.message

    def _step(self, gathering: _Gathering) -> None:
        now_s = self._clock.seconds()
        for host_id in list(gathering.asked_s):
            if now_s >= gathering.asked_s[host_id] + gathering.host_timeout_s:
                self._forget(gathering, host_id)
                gathering.silent[host_id] = (
                    f"no answer within {gathering.host_timeout_s:g} s"
                )
            elif now_s >= gathering.again_s[host_id]:
                self._ask(gathering, host_id)
        self._ask_next(gathering)
        if now_s >= gathering.end_s:
            self._give_up(gathering)
        gathering.next_step = None
        self._end_if_done(gathering)
        if not gathering.done.called:
            gathering.next_step = self._clock.callLater(STEP_S, self._step, gathering)

    def _ask_next(self, gathering: _Gathering) -> None:
        while gathering.waiting and len(gathering.asked_s) < ASKED_AT_ONCE:
            host_id = gathering.waiting.popleft()
            if gathering.gathered_bytes >= MOST_GATHERED_BYTES:
                gathering.silent[host_id] = "not asked: the answers of others are"
                gathering.silent[host_id] += f" {MOST_GATHERED_BYTES} bytes already"
                continue
            gathering.asked_s[host_id] = self._clock.seconds()
            self._ask(gathering, host_id)

    def _ask(self, gathering: _Gathering, host_id: str) -> None:
        gathering.again_s[host_id] = self._clock.seconds() + ASK_AGAIN_S
        query = Query(
            number=gathering.number,
            kind=gathering.kind,
            argument=gathering.argument,
        )
        self._peers.send(host_id, encode_query(query))

    def _forget(self, gathering: _Gathering, host_id: str) -> None:
        del gathering.asked_s[host_id], gathering.again_s[host_id]

    def _give_up(self, gathering: _Gathering) -> None:
        for host_id in list(gathering.asked_s):
            self._forget(gathering, host_id)
            gathering.silent[host_id] = "no answer before the time for all was over"
        for host_id in gathering.waiting:
            gathering.silent[host_id] = "not asked: the time for all was over"
        gathering.waiting.clear()

    def _end_if_done(self, gathering: _Gathering) -> None:
        if (
            not gathering.asked_s
            and not gathering.waiting
            and not gathering.done.called
        ):
            gathering.done.callback(None)
