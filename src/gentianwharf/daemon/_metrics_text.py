"""Metrics of the rules in force, in the Prometheus text format."""

from gentianwharf.metrics import Sample, prometheus_text

from ._rules import RulesInForce


def rules_metrics_text(rules: RulesInForce) -> str:
    """Return the gauges of the rules in force and of newer rules that were refused."""
    return prometheus_text(
        [
            Sample(
                name="gentianwharf_rules_revision",
                help="The store's revision of the rules in force, 0 before the first.",
                labels={},
                value=rules.revision,
                counter=False,
            ),
            Sample(
                name="gentianwharf_rules_refused_seconds",
                help="Since newer rules are known and not in force, 0 if none are.",
                labels={},
                value=rules.refused_s(),
                counter=False,
            ),
        ],
        [],
    )
