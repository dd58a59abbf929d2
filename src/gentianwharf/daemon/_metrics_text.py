"""What a daemon's metrics show beside its answers."""

from gentianwharf.metrics import Sample, prometheus_text

from ._rules import RulesInForce


def rules_metrics_text(rules: RulesInForce) -> str:
    """Return which rules are in force, and whether newer ones are not."""
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
