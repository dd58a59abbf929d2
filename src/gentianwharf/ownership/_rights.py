"""Rights to send: requested by every host, granted by majorities of witnesses.

A witness that confirms that it holds nothing newer than the versions in a request
makes no decision and stores no state. Any majority that confirms a version and any
majority that acknowledges a newer one have a witness in common, and that witness
confirmed before it acknowledged. Every right under the older version was therefore
requested before the acknowledgement and ends at most ``RIGHT_USE_S`` after it.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import final

from ._messages import RightAnswer, RightAsk, ShareAnswer, ShareAsk, VersionsWanted
from ._tables import Tables, WitnessList, checksum_of, witnessed_in
from ._timing import RIGHT_USE_S, RIGHT_WAIT_S

MAX_ROUNDS = 8
"""Maximum number of open rounds per domain. An answer to an older round could hardly
extend a right."""

MAX_SHARE_ROUNDS = 64
"""Maximum number of open share rounds. A request that meets different versions opens
one more."""

MAX_SHORTENING_S = 0.02
"""Maximum time that a right may lose when it is sent as part of a common value.
Rounds are 100 ms apart."""


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
    """Return ``answer`` with one common value for most of the request's ``domains``.

    Listing each domain would make up most of the traffic for rights: 450 bytes for 24
    domains, to each of sixteen hosts ten times a second. The common value is the
    smallest of those within ``MAX_SHORTENING_S`` of the greatest. Domains below it, and
    those without a right, are listed by name. So is ``exact``, since the requesting
    host synchronizes its timer with the age of that right.
    """
    left_s = {
        domain: answer.good_s.get(domain, 0.0) for domain in domains if domain != exact
    }
    threshold_s = max(left_s.values(), default=0.0) - MAX_SHORTENING_S
    similar_s = [
        value_s for value_s in left_s.values() if value_s >= threshold_s and value_s > 0
    ]
    if not similar_s:
        return answer
    others_s = min(similar_s)
    named = {
        domain: value_s for domain, value_s in left_s.items() if value_s < others_s
    }
    named[exact] = answer.good_s.get(exact, 0.0)
    return ShareAnswer(round=answer.round, good_s=named, others_s=others_s)


@final
class Rights:
    """The rights of one host, one per domain of backend servers.

    A right for some versions is valid for newer ones too: a witness that holds nothing
    newer than the older version holds nothing newer than the newer one. ``first_round``
    is drawn at random at each start.
    """

    def __init__(self, *, first_round: int = 0) -> None:
        # A late answer to a request from before a restart must not be taken for the
        # answer to a newer request: the right would count from too late a time.
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
        """Open a round and return the request for each of the witnesses."""
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
        """Open a round and return a request that holds only the versions' checksum."""
        number = self._open_round(domain=domain, witnesses=witnesses, now_s=now_s)
        return RightAsk(domain=domain, round=number, checksum=checksum)

    def _open_round(self, *, domain: str, witnesses: WitnessList, now_s: float) -> int:
        """Record that the witnesses of ``domain`` are asked now."""
        self._last_round += 1
        # The time is taken before the request is sent: a host that is paused between
        # the request and the answer must find its right already expired.
        opened = _Round(asked_s=now_s, witnesses=witnesses)
        rounds = self._rounds.setdefault(domain, {})
        rounds[self._last_round] = opened
        if len(rounds) > MAX_ROUNDS:
            del rounds[next(iter(rounds))]
        return self._last_round

    def ask_fully(
        self, wanted: VersionsWanted, tables: Tables
    ) -> RightAsk | ShareAsk | None:
        """Return the request of an open round with all versions, None without one.

        The answers of one round may be for different versions of this host's tables.
        Versions only increase, so none of them is newer than the last, and the right
        counts from before the first request.
        """
        versions = dict(tables.versions)
        if wanted.is_share:
            opened = self._shares.get(wanted.round)
            if opened is None:
                return None
            # A new round number, since the set of domains may differ now.
            number = self._open_share_round(opened.asked_s, witnessed_in(versions))
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
        """Record a witness's answer; a majority extends the right."""
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
        """Return a request for a share of another host's rights."""
        return ShareAsk(
            round=self._open_share_round(now_s, witnessed_in(versions)),
            checksum=checksum_of(versions),
            versions=dict(versions),
        )

    def open_share(self, *, tables: Tables, now_s: float) -> int:
        """Record that other hosts are asked for shares now; return the round."""
        return self._open_share_round(now_s, tables.witnessed())

    def _open_share_round(self, asked_s: float, domains: frozenset[str]) -> int:
        self._last_round += 1
        self._shares[self._last_round] = _ShareRound(asked_s=asked_s, domains=domains)
        if len(self._shares) > MAX_SHARE_ROUNDS:
            del self._shares[next(iter(self._shares))]
        return self._last_round

    def share(self, ask: ShareAsk, now_s: float) -> ShareAnswer:
        """Return the remaining rights, for a host whose versions are not older."""
        left = {
            domain: until_s - now_s
            for domain, until_s in self._until_s.items()
            if until_s > now_s and ask.domain in (None, domain)
        }
        return ShareAnswer(round=ask.round, good_s=left)

    def hear_share(self, answer: ShareAnswer) -> None:
        """Apply another host's remaining rights, counted from this host's request."""
        opened = self._shares.get(answer.round)
        if opened is None:
            return
        # Not the domains that are known now: the answer does not cover a domain whose
        # witness list arrived after the request, so no witness confirmed a right to it.
        for domain in opened.domains | answer.good_s.keys():
            good_s = answer.left_s(domain)
            if good_s <= 0:
                continue
            until_s = opened.asked_s + min(good_s, RIGHT_USE_S)
            self._until_s[domain] = max(until_s, self.until_s(domain))
            # The other host asked the majority before this host sent its request.
            # This is the latest time that is certainly not after that.
            asked_s = until_s - RIGHT_WAIT_S
            self._asked_s[domain] = max(asked_s, self.asked_s(domain))

    def confirmed(self, domain: str) -> Collection[str]:
        """Return the witnesses that confirmed the last round, if it gave a right."""
        rounds = self._rounds.get(domain)
        last = next(reversed(rounds.values())) if rounds else None
        return last.good_s if last and last is self._confirmed.get(domain) else ()

    def asked_s(self, domain: str) -> float:
        """Return when the newest right for ``domain`` was requested."""
        return self._asked_s.get(domain, float("-inf"))

    def until_s(self, domain: str) -> float:
        """Return the time until which this host may act on servers of ``domain``."""
        return self._until_s.get(domain, float("-inf"))


def knows_newer(tables: Tables, ask: RightAsk | ShareAsk) -> bool:
    """Whether ``tables`` may hold anything newer than the versions in the request.

    This prevents a right to an older table: a request with only a checksum is
    confirmed only if *all* versions are the same. A checksum of only some versions, or
    a collision, would confirm a table from before a move, and its host would continue
    to send to the old owner: two owners. With 64 bits the probability is 2 to the -64
    for each pair of sets that is compared; see docs/design/ownership.md.
    """
    if ask.versions is None:
        return ask.checksum != tables.checksum
    return tables.is_newer_than(ask.versions)


@final
class Witness:
    """The state of one host as a witness of its domain.

    A witness confirms nothing until it has a memory, that is until it has read the
    store since it started or was listed as a witness, or has received the versions of
    enough witnesses that have a memory. Otherwise a restart would lose a version that
    it had acknowledged, and together with another stale witness it would confirm
    rights to the version before it.
    """

    def __init__(self, *, host: str, domain: str, incarnation: int) -> None:
        self.host = host
        self.domain = domain
        self.incarnation = incarnation
        self._read_store = False
        self._answered_hosts: set[str] = set()
        self._has_recovered = False
        self.is_listed = False

    @property
    def has_memory(self) -> bool:
        """Whether the witness may confirm and acknowledge."""
        return self._read_store or self._has_recovered

    def note_list(self, witnesses: WitnessList | None) -> None:
        """Apply the current witness list."""
        is_listed = witnesses is not None and self.host in witnesses.all()
        if is_listed and not self.is_listed:
            # The tables of an ordinary host may lack versions that the earlier
            # witnesses acknowledged, so only a read that begins from now on counts.
            self.forget()
        self.is_listed = is_listed

    def forget(self) -> None:
        """Confirm nothing until the store is read or other witnesses have answered."""
        self._read_store = False
        self._has_recovered = False
        self._answered_hosts.clear()

    def store_read(self) -> None:
        """Record that a read of the store which began while listed has ended."""
        self._read_store = True

    def recovered_from(self, host: str, witnesses: WitnessList) -> None:
        """Record a witness with a memory whose values have been installed."""
        self._answered_hosts.add(host)
        if witnesses.can_recover_from(self._answered_hosts):
            self._has_recovered = True

    def answer(self, ask: RightAsk, tables: Tables) -> RightAnswer:
        """Confirm the requested versions, or refuse if a newer one is known."""
        good = self.has_memory and not knows_newer(tables, ask)
        return RightAnswer(
            domain=ask.domain,
            round=ask.round,
            good_s=RIGHT_USE_S if good else 0.0,
        )
