"""Explains to operators why a rule matches a request; not used to route requests."""

from gentianwharf.matching import (
    CompiledRule,
    RequestFacts,
    RuleSet,
    find_shard,
    is_in_range,
    read_key,
)

from ._results import Explanation, UnmatchedRule


def explain(rules: RuleSet, facts: RequestFacts) -> Explanation:
    """Return which rule matches ``facts``, and why each earlier rule does not."""
    match = rules.match(facts)
    end_number = match.number if match is not None else len(rules.compiled) + 1
    return Explanation(
        revision=rules.revision,
        number=match.number if match is not None else None,
        rule_name=match.rule.name if match is not None else None,
        service=match.service if match is not None else None,
        site=match.site if match is not None else None,
        request_class=match.request_class if match is not None else None,
        key=match.key if match is not None else None,
        shard=match.shard if match is not None else None,
        repeatable=match.repeatable if match is not None else None,
        passed_over=tuple(
            UnmatchedRule(
                number=rule.number,
                rule_name=rule.rule.name,
                reasons=tuple(_reasons(rule, facts)),
            )
            for rule in rules.compiled[: end_number - 1]
        ),
    )


def _reasons(rule: CompiledRule, facts: RequestFacts) -> list[str]:
    reasons = []
    if rule.host is not None and rule.host != facts.host:
        reasons.append(f"host is {facts.host!r}, the rule asks for {rule.host!r}")
    if not facts.path.startswith(rule.path_prefix):
        reasons.append(f"path does not begin with {rule.path_prefix!r}")
    if rule.methods and facts.method not in rule.methods:
        methods = ", ".join(sorted(rule.methods))
        reasons.append(f"method is {facts.method}, the rule asks for {methods}")
    for name, value in rule.headers:
        found = facts.headers.get(name)
        if found != value:
            reasons.append(
                f"header {name} is {found!r}, the rule asks for {value!r}"
                if found is not None
                else f"header {name} is missing, the rule asks for {value!r}"
            )
    if rule.has_key_condition:
        reasons.extend(_key_reasons(rule, facts))
    return reasons


def _key_reasons(rule: CompiledRule, facts: RequestFacts) -> list[str]:
    key = read_key(rule.key_source, facts)
    if key is None:
        return ["the request has no key where the rule looks for it, or two of them"]
    if rule.key is not None:
        if key == rule.key:
            return []
        return [f"key is {key!r}, the rule asks for {rule.key!r}"]
    if not rule.shards:
        return [f"service {rule.rule.then.service} has no shards"]
    shard = find_shard(rule.key_source, key, rule.shards)
    if is_in_range(rule.first_shard, shard, rule.end_shard):
        return []
    return [
        f"the key's shard is {shard}, the rule holds for shards"
        f" {rule.first_shard} up to, not including, {rule.end_shard}"
    ]
