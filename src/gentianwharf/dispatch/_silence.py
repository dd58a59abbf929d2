"""Dispatchers that didn't answer in time, and when they are asked again."""

from collections.abc import Callable, Container
from dataclasses import dataclass
from typing import final

SILENT_S = 1.0
"""How long a dispatcher that didn't answer is not asked."""


@final
@dataclass(kw_only=True, slots=True)
class _Silence:
    until_s: float
    is_probed: bool = False


@final
class SilentDispatchers:
    """The dispatchers that are not asked, or by one request at a time.

    >>> now = [0.0]
    >>> silent = SilentDispatchers(now_s=lambda: now[0])
    >>> silent.note_timeout("h1")
    >>> silent.may_ask("h1"), silent.may_ask("h2")
    (False, True)
    >>> now[0] = 1.0
    >>> silent.may_ask("h1"), silent.start_probe("h1"), silent.may_ask("h1")
    (True, True, False)
    >>> silent.note_answer("h1")
    >>> silent.may_ask("h1"), silent.start_probe("h1")
    (True, False)
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._silences: dict[str, _Silence] = {}

    def __len__(self) -> int:
        return len(self._silences)

    def may_ask(self, dispatcher: str) -> bool:
        """Whether a request may be sent to a dispatcher."""
        silence = self._silences.get(dispatcher)
        if silence is None:
            return True
        return not silence.is_probed and self._now_s() >= silence.until_s

    def start_probe(self, dispatcher: str) -> bool:
        """Return whether a request that is sent now is the only one for the time being.

        Such a request ends with ``note_answer``, ``note_timeout`` or ``end_probe``.
        """
        silence = self._silences.get(dispatcher)
        if silence is None:
            return False
        silence.is_probed = True
        return True

    def end_probe(self, dispatcher: str) -> None:
        """Allow another request, as the last one was withdrawn before its time-out."""
        silence = self._silences.get(dispatcher)
        if silence is not None:
            silence.is_probed = False

    def note_answer(self, dispatcher: str) -> None:
        """Record an answer that came in time."""
        self._silences.pop(dispatcher, None)

    def note_timeout(self, dispatcher: str) -> None:
        """Record that an answer didn't come in time, or that the dispatcher stops."""
        self._silences[dispatcher] = _Silence(until_s=self._now_s() + SILENT_S)

    def retain(self, hosts: Container[str]) -> None:
        """Forget all other dispatchers."""
        for host in [name for name in self._silences if name not in hosts]:
            del self._silences[host]
