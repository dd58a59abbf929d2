"""A fake daemon behind the admin port, and a client that calls it in memory."""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from treq.testing import StubTreq
from twisted.internet.defer import Deferred

from gentianwharf.admin import (
    AdminApp,
    Alarm,
    DaemonState,
    DomainLoss,
    HostRules,
    HostRulesStatus,
    JsonValue,
    KeyOwner,
    Measures,
    RetainedDecisions,
    RolloutStatus,
    ServerStatus,
)
from gentianwharf.errors import RefusedError
from gentianwharf.infra import ListedHost
from gentianwharf.metrics import (
    MissingHost,
    Objective,
    WindowCount,
    burn_report,
)
from gentianwharf.rules import (
    ApplyResult,
    RuleDocument,
    RulesApplied,
    RuleSet,
    RuleVersion,
)
from tests.builders_rules import SHARDS, document, keyed_rule, result_of

TOKEN = "a-token-of-some-length"
JSON_HEADERS = {"content-type": "application/json", "gentianwharf-operator": "amira"}

IN_FORCE_HOST = HostRules(
    host="lac-1", domain="lac", standing=HostRulesStatus.IN_FORCE, in_force_revision=20
)
OTHER_HOSTS = (
    HostRules(
        host="ariana-1",
        domain="ariana",
        standing=HostRulesStatus.SILENT,
        in_force_revision=10,
        reason="no answer within 0.5 s",
    ),
)

DECISION: Mapping[str, JsonValue] = {
    "host": "lac-1",
    "ago_s": 4.2,
    "request_id": "r-7",
    "service": "desk",
    "request_class": "consultation",
    "rule": 1,
    "server": "",
    "run": "not-run",
    "waited_s": 0.25,
    "refused": "queue-full",
    "reasons": [],
}


def rule_version(number: int = 1, *, author: str = "amira") -> RuleVersion:
    """Return a version of the rules, with one rule for the keyed service."""
    return RuleVersion(
        number=number,
        revision=number * 10,
        edited_from_revision=(number - 1) * 10,
        author=author,
        change_id=f"change-{number}",
        document=document(keyed_rule(name="all", site="old")),
    )


@dataclass
class FakeDaemon:
    """Implements every protocol of the admin port; ``calls`` records the changes."""

    live: bool = True
    reasons: Sequence[str] = ()
    error: Exception | None = None
    result: ApplyResult | None = None
    apply_blocker: Deferred[None] | None = None
    rule_set: RuleSet | None = field(
        default_factory=lambda: RuleSet(
            document=rule_version().document, revision=10, shards=SHARDS
        )
    )
    calls: list[tuple[Any, ...]] = field(default_factory=list)
    change_ids: list[str | None] = field(default_factory=list)
    other_status: HostRulesStatus = HostRulesStatus.IN_FORCE
    rollout_waits: list[tuple[int | None, float]] = field(default_factory=list)
    silent_hosts: Sequence[MissingHost] = ()
    burn_hosts: list[str | None] = field(default_factory=list)
    decision_calls: list[tuple[str | None, bool, int]] = field(default_factory=list)

    def is_live(self) -> bool:
        """See ``StateView``."""
        return self.live

    def unready_reasons(self) -> Sequence[str]:
        """See ``StateView``."""
        return self.reasons

    def state(self) -> DaemonState:
        """See ``StateView``."""
        self._fail()
        return DaemonState(
            is_witness=True,
            witness_has_memory=True,
            customer="tunis",
            host="lac-1",
            domain="lac",
            site="old",
            ready=not self.reasons,
            stopping=False,
            rules_revision=10,
            store_heard_ago_s=0.5,
            table_versions={"desk": 7},
            right_to_send={"desk": True},
            control_holders={"desk": "lac-1"},
            measures=Measures(
                window_s=60,
                imbalance={"desk": 1.05},
                churn={"desk": 3},
                unavailable_s={"consultation": 0.0},
            ),
            alarms=(Alarm(name="store-silent", since_s=4.0, detail="no answer"),),
        )

    def in_force(self) -> RuleSet | None:
        """See ``RulesControl``."""
        return self.rule_set

    async def read(self) -> RuleVersion | None:
        """See ``RulesControl``."""
        self._fail()
        return rule_version()

    async def history(self) -> list[RuleVersion]:
        """See ``RulesControl``."""
        return [rule_version(2, author="karim"), rule_version(1)]

    async def apply(
        self,
        document: RuleDocument,
        *,
        edited_from_revision: int,
        author: str,
        change_id: str | None = None,
    ) -> ApplyResult:
        """See ``RulesControl``."""
        if self.apply_blocker is not None:
            await self.apply_blocker
        self._fail()
        self.calls.append(("apply", document, edited_from_revision, author))
        self.change_ids.append(change_id)
        if self.result is not None:
            return self.result
        return RulesApplied(version=rule_version(2), read_back=False)

    def owner(self, service: str, key: str) -> KeyOwner:
        """See ``KeysControl``."""
        self._fail()
        return KeyOwner(
            service=service,
            key=key,
            shard=3,
            single=False,
            server="desk-1",
            site="old",
            token=12,
            table_version=7,
        )

    async def move(self, service: str, key: str, server: str, author: str) -> KeyOwner:
        """See ``KeysControl``."""
        self.calls.append(("move", service, key, server, author))
        return self.owner(service, key)

    async def pin(
        self, service: str, key: str, server: str | None, author: str
    ) -> KeyOwner:
        """See ``KeysControl``."""
        self.calls.append(("pin", service, key, server, author))
        return self.owner(service, key)

    def servers(self) -> Sequence[ServerStatus]:
        """See ``ServersControl``."""
        return [server_status("desk-1"), server_status("desk-2")]

    async def drain(self, server: str, author: str) -> ServerStatus:
        """See ``ServersControl``."""
        if server == "nobody":
            raise RefusedError("no server 'nobody'", step="drain", peer=server)
        self.calls.append(("drain", server, author))
        return server_status(server)

    async def hosts(self) -> Sequence[ListedHost]:
        """See ``HostsView``."""
        return [
            ListedHost(id="lac-1", domain="lac", address="127.0.0.1", leaving=False)
        ]

    def preview_loss(self, domain: str) -> DomainLoss:
        """See ``DomainsControl``."""
        return DomainLoss(
            domain=domain,
            shards={"desk": 340},
            heard_ago_s=31.0,
            risks=("a server there that still runs would own keys twice",),
            declared=False,
        )

    async def declare_lost(self, domain: str, author: str) -> DomainLoss:
        """See ``DomainsControl``."""
        self.calls.append(("declare-lost", domain, author))
        return self.preview_loss(domain)

    async def rollout_status(
        self, *, revision: int | None, wait_s: float
    ) -> RolloutStatus:
        """See ``FleetRules``."""
        self._fail()
        self.rollout_waits.append((revision, wait_s))
        others = tuple(
            replace(host, standing=self.other_status) for host in OTHER_HOSTS
        )
        return RolloutStatus(
            revision=20 if revision is None else revision,
            everywhere=self.other_status is HostRulesStatus.IN_FORCE,
            hosts=(IN_FORCE_HOST, *others),
        )

    async def burn(self, *, host: str | None) -> Mapping[str, JsonValue]:
        """See ``BurnView``."""
        self.burn_hosts.append(host)
        objective = Objective(request_class="consultation", limit_s=0.3, share=0.99)
        count = WindowCount(
            window_s=3600.0,
            request_class="consultation",
            service="desk",
            rule=1,
            domain="lac",
            server="desk-1",
            total=1000,
            bad=4,
        )
        return burn_report(
            [objective], [count], hosts=["lac-1"], silent=self.silent_hosts
        ).as_builtins()

    def latest(self, *, refused_only: bool, limit: int) -> RetainedDecisions:
        """See ``DecisionsView``."""
        self.decision_calls.append((None, refused_only, limit))
        return RetainedDecisions(decisions=[DECISION], silent={})

    async def find(self, request_id: str) -> RetainedDecisions:
        """See ``DecisionsView``."""
        self.decision_calls.append((request_id, False, 1))
        decisions = [] if request_id == "nowhere" else [DECISION]
        return RetainedDecisions(
            decisions=decisions,
            silent={host.host: host.reason for host in self.silent_hosts},
        )

    def _fail(self) -> None:
        if self.error is not None:
            raise self.error


def server_status(server: str) -> ServerStatus:
    """Return a server of the keyed service."""
    return ServerStatus(
        id=server,
        service="desk",
        domain="lac",
        site="old",
        address="127.0.0.1:9100",
        state="active",
        slots=6,
        slots_busy=2,
        reported_load=0.4,
        shards=64,
    )


def admin_app(daemon: FakeDaemon, *, token: str | None = TOKEN) -> AdminApp:
    """Return the admin port over ``daemon``."""
    return AdminApp(
        state=daemon,
        rules=daemon,
        fleet_rules=daemon,
        keys=daemon,
        servers=daemon,
        hosts=daemon,
        domains=daemon,
        burn=daemon,
        decisions=daemon,
        metrics=lambda: b"# HELP up\n",
        token=token,
    )


def stub_client(daemon: FakeDaemon) -> StubTreq:
    """Return a client that calls the admin port without a socket."""
    return StubTreq(admin_app(daemon).resource())


@dataclass(frozen=True)
class Response:
    """A response of the admin port."""

    status: int
    media_type: str
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


def send_request(
    http: StubTreq,
    method: str,
    path: str,
    *,
    headers: Mapping[str, str] | None = None,
    body: object = None,
) -> Response:
    """Send a request with valid credentials, unless ``headers`` are given."""
    valid_headers = {"authorization": f"Bearer {TOKEN}", **JSON_HEADERS}
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    client: Any = http
    response = result_of(
        client.request(
            method,
            f"http://127.0.0.1:8081{path}",
            headers=dict(valid_headers if headers is None else headers),
            data=None if method == "GET" else data,
        )
    )
    http.flush()
    media_types = response.headers.getRawHeaders("content-type") or [""]
    return Response(
        status=response.code,
        media_type=media_types[0],
        body=result_of(response.content()),
    )
