"""The admin port over the daemon's components."""

from gentianwharf.admin import AdminApp, StateView
from gentianwharf.rules import RuleBook, RuleChecker
from gentianwharf.settings import rule_scope_of

from . import _views as views
from ._components import Components, seeded_random
from ._decisions import FleetDecisions
from ._fleet import FleetBurnView, FleetRulesView
from ._metrics_text import rules_metrics_text


def servers_view(components: Components) -> views.ServersView:
    """Return the admin port's view of the backend servers."""
    return views.ServersView(
        servers=components.servers,
        domains=components.domains,
        gate=components.gate,
        control=components.control,
        ownership=components.ownership,
        reports=components.reports,
        keyed=frozenset(service.name for service in components.keyed_services()),
        hosts=components.hosts,
    )


def build_admin(
    components: Components,
    *,
    state: StateView,
    servers: views.ServersView,
    token: str | None,
) -> AdminApp:
    """Return the admin port's application."""
    book = RuleBook(
        store=components.store,
        prefix=components.prefix,
        checker=RuleChecker(scope=rule_scope_of(components.settings)),
        clock=components.reactor,
        rng=seeded_random(),
    )
    return AdminApp(
        state=state,
        rules=views.RulesView(in_force=components.rules, book=book),
        fleet_rules=FleetRulesView(
            clock=components.reactor,
            queries=components.queries,
            hosts=components.hosts,
            rules=components.rules,
            spread=components.spread,
            rules_key=components.rules_key,
        ),
        keys=views.KeysView(
            ownership=components.ownership,
            services=components.services,
            domains=components.domains,
        ),
        servers=servers,
        hosts=views.HostsView(host_list=components.host_list),
        domains=views.DomainsView(
            ownership=components.ownership,
            services=components.services,
            domains=components.domains,
            hosts=components.hosts,
        ),
        burn=FleetBurnView(
            clock=components.reactor,
            queries=components.queries,
            hosts=components.hosts,
            recorder=components.recorder,
        ),
        decisions=FleetDecisions(
            queries=components.queries,
            hosts=components.hosts,
            recorder=components.recorder,
            now_s=components.reactor.seconds,
        ),
        metrics=lambda: _metrics_text(components).encode(),
        token=token,
    )


def _metrics_text(components: Components) -> str:
    return components.recorder.prometheus_text() + rules_metrics_text(components.rules)
