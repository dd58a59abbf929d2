"""Rights to send: asked for by every host, given by majorities of witnesses.

A witness that confirms "I know nothing newer than your versions" decides nothing
and keeps nothing. The majorities of those who confirm and of those who acknowledge
a newer version share a witness, and that one answered before it acknowledged; so
every right under the older version was asked for before the acknowledgement and
ends ``RIGHT_USE_S`` after it at the latest.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import final

from ._messages import RightAnswer, RightAsk, ShareAnswer, ShareAsk, VersionsWanted
from ._tables import Tables, WitnessList, checksum_of, witnessed_in
from ._timing import RIGHT_USE_S, RIGHT_WAIT_S

MOST_ROUNDS = 8
"""Open rounds of a domain; a later answer could hardly give any right."""


MOST_SHARES = 64
"""Open questions for shares: each that met other versions opens one more."""

SHORTENED_BY_S = 0.02
"""What a right may lose by being counted with others; rounds are 100 ms apart."""


@final
@dataclass(kw_only=True, slots=True)
class _Round:
    asked_s: float
    witnesses: WitnessList
    good_s: dict[str, float] = field(default_factory=dict)


@final
@dataclass(kw_only=True, slots=True, frozen=True)
class _ShareRound:
    asked_s: float
    domains: frozenset[str]


def shorten(answer: ShareAnswer, domains: Iterable[str], *, exact: str) -> ShareAnswer:
    """Return ``answer`` with one figure for most of the question's ``domains``.

    Each by name would be most of what is sent for rights: 450 bytes for 24 domains,
    to each of sixteen hosts ten times a second. The figure is the least of those that
    are nearly the greatest; all others, and those without a right, keep their names. So
    does ``exact``, by whose age the asking host keeps pace.
    """
    left_s = {
        domain: answer.good_s.get(domain, 0.0) for domain in domains if domain != exact
    }
    nearly_s = max(left_s.values(), default=0.0) - SHORTENED_BY_S
    alike_s = [one for one in left_s.values() if one >= nearly_s and one > 0]
    if not alike_s:
        return answer
    others_s = min(alike_s)
    named = {domain: one for domain, one in left_s.items() if one < others_s}
    named[exact] = answer.good_s.get(exact, 0.0)
    return ShareAnswer(round=answer.round, good_s=named, others_s=others_s)


@final
class Rights:
    """The rights of one host, one a domain of backend servers.

    A right for some versions serves newer ones too: whoever knows nothing newer
    than the older version knows nothing newer than the newer one. ``first_round``
    is drawn anew at each start.
    """

    def __init__(self, *, first_round: int = 0) -> None:
        # An answer to this host's earlier life, late on its way, must not pass for
        # one to a question of this life, which would count it from too late.
        self._last_round = first_round
        self._until_s: dict[str, float] = {}
        self._asked_s: dict[str, float] = {}
        self._rounds: dict[str, dict[int, _Round]] = {}
        self._confirmed: dict[str, _Round] = {}
        self._shares: dict[int, _ShareRound] = {}

    def ask(
        self,
        *,
        domain: str,
        witnesses: WitnessList,
        versions: Mapping[str, int],
        now_s: float,
    ) -> RightAsk:
        """Open a round and return the question for each of the witnesses."""
        number = self._open_round(domain=domain, witnesses=witnesses, now_s=now_s)
        return RightAsk(
            domain=domain,
            round=number,
            checksum=checksum_of(versions),
            versions=dict(versions),
        )

    def ask_briefly(
        self, *, domain: str, witnesses: WitnessList, checksum: int, now_s: float
    ) -> RightAsk:
        """Open a round and return the question by the versions' checksum alone."""
        number = self._open_round(domain=domain, witnesses=witnesses, now_s=now_s)
        return RightAsk(domain=domain, round=number, checksum=checksum)

    def _open_round(self, *, domain: str, witnesses: WitnessList, now_s: float) -> int:
        """Note that the witnesses of ``domain`` are asked now."""
        self._last_round += 1
        # The stamp is taken before the question leaves: a host that is paused
        # between asking and hearing must find its right already used up.
        opened = _Round(asked_s=now_s, witnesses=witnesses)
        rounds = self._rounds.setdefault(domain, {})
        rounds[self._last_round] = opened
        if len(rounds) > MOST_ROUNDS:
            del rounds[next(iter(rounds))]
        return self._last_round

    def ask_fully(
        self, wanted: VersionsWanted, tables: Tables
    ) -> RightAsk | ShareAsk | None:
        """Return the question of an open round with all versions, None without one.

        A round's answers may be for different versions of this host. Its tables only
        grow, so all of these are as old as the newest or older, and the right counts
        from before the first question.
        """
        versions = dict(tables.versions)
        if wanted.is_share:
            opened = self._shares.get(wanted.round)
            if opened is None:
                return None
            # Another number, since the same answer means other domains now.
            number = self._note_share(opened.asked_s, witnessed_in(versions))
            return ShareAsk(
                round=number,
                checksum=tables.checksum,
                domain=wanted.domain,
                versions=versions,
            )
        domain = wanted.domain
        if domain is None or wanted.round not in self._rounds.get(domain, {}):
            return None
        return RightAsk(
            domain=domain,
            round=wanted.round,
            checksum=tables.checksum,
            versions=versions,
        )

    def hear(self, host: str, answer: RightAnswer) -> None:
        """Count a witness's answer; a majority extends the right."""
        opened = self._rounds.get(answer.domain, {}).get(answer.round)
        if opened is None or answer.good_s <= 0:
            return
        opened.good_s[host] = answer.good_s
        if not opened.witnesses.is_majority(opened.good_s):
            return
        self._confirmed[answer.domain] = opened
        until_s = opened.asked_s + min(*opened.good_s.values(), RIGHT_USE_S)
        self._until_s[answer.domain] = max(until_s, self.until_s(answer.domain))
        asked_s = max(opened.asked_s, self.asked_s(answer.domain))
        self._asked_s[answer.domain] = asked_s

    def ask_share(self, *, versions: Mapping[str, int], now_s: float) -> ShareAsk:
        """Return the question for a host that may pass on what is left."""
        return ShareAsk(
            round=self._note_share(now_s, witnessed_in(versions)),
            checksum=checksum_of(versions),
            versions=dict(versions),
        )

    def open_share(self, *, tables: Tables, now_s: float) -> int:
        """Note that other hosts are asked for shares now; return the round."""
        return self._note_share(now_s, tables.witnessed())

    def _note_share(self, asked_s: float, domains: frozenset[str]) -> int:
        self._last_round += 1
        self._shares[self._last_round] = _ShareRound(asked_s=asked_s, domains=domains)
        if len(self._shares) > MOST_SHARES:
            del self._shares[next(iter(self._shares))]
        return self._last_round

    def share(self, ask: ShareAsk, now_s: float) -> ShareAnswer:
        """Return what is left for a host whose versions are not older than ours."""
        left = {
            domain: until_s - now_s
            for domain, until_s in self._until_s.items()
            if until_s > now_s and ask.domain in (None, domain)
        }
        return ShareAnswer(round=ask.round, good_s=left)

    def hear_share(self, answer: ShareAnswer) -> None:
        """Take what another host passes on, counted from this host's question."""
        opened = self._shares.get(answer.round)
        if opened is None:
            return
        # Not the domains known now: the answer says nothing of one whose witness list
        # came after the question, and would give a right that nobody confirmed.
        for domain in opened.domains | answer.good_s.keys():
            good_s = answer.left_s(domain)
            if good_s <= 0:
                continue
            until_s = opened.asked_s + min(good_s, RIGHT_USE_S)
            self._until_s[domain] = max(until_s, self.until_s(domain))
            # The majority was asked by the other host before this one asked; this
            # is the latest moment that is certainly not after it.
            first_s = until_s - RIGHT_WAIT_S
            self._asked_s[domain] = max(first_s, self.asked_s(domain))

    def confirmed(self, domain: str) -> Collection[str]:
        """Return the witnesses that confirmed the last round, none without a right."""
        rounds = self._rounds.get(domain)
        last = next(reversed(rounds.values())) if rounds else None
        return last.good_s if last and last is self._confirmed.get(domain) else ()

    def asked_s(self, domain: str) -> float:
        """Return when the newest right for ``domain`` was asked for."""
        return self._asked_s.get(domain, float("-inf"))

    def until_s(self, domain: str) -> float:
        """Return until when this host may act on servers of ``domain``."""
        return self._until_s.get(domain, float("-inf"))


def knows_newer(tables: Tables, ask: RightAsk | ShareAsk) -> bool:
    """Whether ``tables`` may hold anything newer than the versions asked for.

    Guards against a right to an older table: whoever asks by checksum alone is
    believed only when *all* versions are the same. A checksum of a part, or one that
    two sets share, would confirm a table from before a move, and its host would go on
    sending to the old owner: two owners. 64 bits leave odds of 2 to the -64 for each
    pair of sets that is compared; see docs/design/ownership.md.
    """
    if ask.versions is None:
        return ask.checksum != tables.checksum
    return tables.is_newer_than(ask.versions)


@final
class Witness:
    """The part of one host as a witness of its domain.

    It confirms nothing until it has a memory: it has read the store since it
    started, or since it was named a witness, or it heard enough witnesses that
    have one. Otherwise a restart would make it forget a version that it had
    acknowledged, and with another stale witness it would revive rights to it.
    """

    def __init__(self, *, host: str, domain: str, incarnation: int) -> None:
        self.host = host
        self.domain = domain
        self.incarnation = incarnation
        self._read_store = False
        self._heard: set[str] = set()
        self._recovered = False
        self.is_listed = False

    @property
    def has_memory(self) -> bool:
        """Whether it may confirm and acknowledge."""
        return self._read_store or self._recovered

    def note_list(self, witnesses: WitnessList | None) -> None:
        """Note the witness list in force."""
        is_listed = witnesses is not None and self.host in witnesses.all()
        if is_listed and not self.is_listed:
            # What it knew as an ordinary host may lack versions that the earlier
            # witnesses acknowledged: only a read from now on counts.
            self.forget()
        self.is_listed = is_listed

    def forget(self) -> None:
        """Confirm nothing until the store is read or others are heard again."""
        self._read_store = False
        self._recovered = False
        self._heard.clear()

    def store_read(self) -> None:
        """Note that a read of the store which began while listed has ended."""
        self._read_store = True

    def recovered_from(self, host: str, witnesses: WitnessList) -> None:
        """Note the answer of a witness with memory, its values being installed."""
        self._heard.add(host)
        if witnesses.can_recover_from(self._heard):
            self._recovered = True

    def answer(self, ask: RightAsk, tables: Tables) -> RightAnswer:
        """Confirm the versions asked for, or refuse when a newer one is known."""
        good = self.has_memory and not knows_newer(tables, ask)
        return RightAnswer(
            domain=ask.domain,
            round=ask.round,
            good_s=RIGHT_USE_S if good else 0.0,
        )
