"""The admin port over the daemon's parts."""

from gentianwharf.admin import AdminApp, StateView
from gentianwharf.rules import RuleBook, RuleChecker
from gentianwharf.settings import rule_scope_of

from . import _views as views
from ._decisions import FleetDecisions
from ._fleet import FleetBurnView, FleetRulesView
from ._gauges import rules_text
from ._parts import Parts, seeded


def servers_view(parts: Parts) -> views.ServersView:
    """Return the view of backend servers."""
    return views.ServersView(
        servers=parts.servers,
        domains=parts.domains,
        gate=parts.gate,
        control=parts.control,
        ownership=parts.ownership,
        reports=parts.reports,
        keyed=frozenset(one.name for one in parts.keyed_services()),
        hosts=parts.hosts,
    )


def build_admin(
    parts: Parts,
    *,
    state: StateView,
    servers: views.ServersView,
    token: str | None,
) -> AdminApp:
    """Return the admin port's application."""
    book = RuleBook(
        store=parts.store,
        prefix=parts.prefix,
        checker=RuleChecker(scope=rule_scope_of(parts.settings)),
        clock=parts.reactor,
        rng=seeded(),
    )
    return AdminApp(
        state=state,
        rules=views.RulesView(in_force=parts.rules, book=book),
        fleet_rules=FleetRulesView(
            clock=parts.reactor,
            queries=parts.queries,
            hosts=parts.hosts,
            rules=parts.rules,
            spread=parts.spread,
            rules_key=parts.rules_key,
        ),
        keys=views.KeysView(
            ownership=parts.ownership, services=parts.services, domains=parts.domains
        ),
        servers=servers,
        hosts=views.HostsView(host_list=parts.host_list),
        domains=views.DomainsView(
            ownership=parts.ownership,
            services=parts.services,
            domains=parts.domains,
            hosts=parts.hosts,
        ),
        burn=FleetBurnView(
            clock=parts.reactor,
            queries=parts.queries,
            hosts=parts.hosts,
            recorder=parts.recorder,
        ),
        decisions=FleetDecisions(
            queries=parts.queries,
            hosts=parts.hosts,
            recorder=parts.recorder,
            now_s=parts.reactor.seconds,
        ),
        metrics=lambda: _metrics_text(parts).encode(),
        token=token,
    )


def _metrics_text(parts: Parts) -> str:
    return parts.recorder.prometheus_text() + rules_text(parts.rules)
