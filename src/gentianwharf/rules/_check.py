"""Checks rule documents against the existing services, sites and classes."""

from collections.abc import Iterator, Sequence
from typing import final

from gentianwharf.matching import KEY_HEADER, CompiledRule, compile_rules

from ._bounds import find_violations
from ._codec import document_size_bytes
from ._cover import find_unreachable
from ._document import RuleDocument
from ._owners import find_owner_conflicts
from ._results import Finding, Severity
from ._scope import RuleScope

MAX_RULES = 500
"""Rules are compared pairwise on the daemon's only thread, which must not be blocked
for longer than a right to send is valid (400 ms); see ``bench/rules.py``."""

MAX_DOCUMENT_BYTES = 256 * 1024
"""A quarter of the store's limit for a value, which leaves room for the record."""

MAX_SINGLE_KEY_RULES = 200
"""Each takes an entry in the assignment table, of which every host has a copy."""


@final
class RuleChecker:
    """Checks the rule documents of one customer's services."""

    def __init__(self, *, scope: RuleScope) -> None:
        self._scope = scope

    def check(self, document: RuleDocument) -> tuple[Finding, ...]:
        """Return all findings, errors first; a document with an error is refused.

        The owners of keys are checked only if there is no other error, since an unknown
        service has no shards. A document with too many rules is not checked further.
        """
        if len(document.rules) > MAX_RULES:
            found, expected = f"{len(document.rules)} rules", f"at most {MAX_RULES}"
            return (_document_error(found, expected),)
        compiled = compile_rules(document, self._scope.shards)
        findings = [*_check_size(document), *_check_names(compiled)]
        for rule in compiled:
            findings.extend(_check_bounds(rule))
            findings.extend(self._check_rule(rule))
        findings.extend(_check_single_keys(compiled))
        if not any(finding.severity is Severity.ERROR for finding in findings):
            findings.extend(_check_owners(compiled))
            findings.extend(_warn_unreachable(compiled))
            findings.extend(self._warn_unused(compiled))
        return tuple(
            sorted(findings, key=lambda item: item.severity is Severity.WARNING)
        )

    def _check_rule(self, rule: CompiledRule) -> Iterator[Finding]:
        then = rule.rule.then
        scope = self._scope
        if then.service not in scope.shards:
            known = _one_of(scope.shards)
            yield _error(rule, "then.service", repr(then.service), known)
            return
        if then.site is not None and then.site not in scope.sites[then.service]:
            yield _error(
                rule,
                "then.site",
                repr(then.site),
                f"{_one_of(scope.sites[then.service])}, where {then.service} has"
                " servers",
            )
        if then.request_class not in scope.classes:
            known = _one_of(scope.classes)
            yield _error(rule, "then.request_class", repr(then.request_class), known)
        yield from self._check_deadline(rule)
        yield from _check_key(rule)
        yield from _check_shards(rule)
        yield from _check_headers(rule)

    def _check_deadline(self, rule: CompiledRule) -> Iterator[Finding]:
        cap_ms = self._scope.deadline_caps_ms.get(rule.rule.then.service)
        deadline_ms = rule.rule.then.deadline_ms
        if cap_ms is not None and deadline_ms is not None and deadline_ms > cap_ms:
            yield _error(
                rule,
                "then.deadline_ms",
                str(deadline_ms),
                f"at most {cap_ms}, the service's deadline_cap_ms, since a lost"
                " server's keys wait for the longest deadline",
            )

    def _warn_unused(self, compiled: Sequence[CompiledRule]) -> Iterator[Finding]:
        used = {rule.rule.then.service for rule in compiled}
        for service in sorted(set(self._scope.shards) - used):
            yield Finding(
                severity=Severity.WARNING,
                rule_number=None,
                rule_name=None,
                location="rules",
                found=f"no rule for service {service!r}",
                expected="a rule that sends requests to it",
            )


def _check_size(document: RuleDocument) -> Iterator[Finding]:
    size_bytes = document_size_bytes(document)
    if size_bytes > MAX_DOCUMENT_BYTES:
        yield _document_error(
            f"{size_bytes} bytes", f"at most {MAX_DOCUMENT_BYTES} bytes"
        )
    if not document.rules:
        yield _document_error("no rule", "at least one, or every request is refused")


def _check_names(compiled: Sequence[CompiledRule]) -> Iterator[Finding]:
    first_numbers: dict[str, int] = {}
    for rule in compiled:
        number = first_numbers.setdefault(rule.rule.name, rule.number)
        if number != rule.number:
            yield _error(
                rule, "name", repr(rule.rule.name), f"another name than rule {number}'s"
            )


def _check_bounds(rule: CompiledRule) -> Iterator[Finding]:
    for violation in find_violations(rule.rule):
        yield _error(rule, violation.field, violation.found, violation.expected)


def _check_key(rule: CompiledRule) -> Iterator[Finding]:
    if rule.key_source is not None:
        return
    remedy = f'"key": {{"place": "header", "name": "{KEY_HEADER}"}} or another place'
    if rule.shards:
        yield _error(
            rule,
            "then.key",
            "none",
            f"where the key stands, since {rule.rule.then.service} is keyed: {remedy}",
        )
    elif rule.key is not None:
        yield _error(
            rule,
            "then.key",
            "none",
            f"where the key stands, since the rule asks for one: {remedy}",
        )


def _check_shards(rule: CompiledRule) -> Iterator[Finding]:
    when, service = rule.rule.when, rule.rule.then.service
    for field in ("shard_share", "shard_range"):
        if getattr(when, field) is not None and not rule.shards:
            yield _error(
                rule,
                f"when.{field}",
                str(getattr(when, field)),
                f"no condition on shards, since {service} is not keyed",
            )
    if when.shard_range is not None and rule.shards:
        last = when.shard_range.last
        if last >= rule.shards:
            yield _error(
                rule,
                "when.shard_range.last",
                str(last),
                f"at most {rule.shards - 1}, since {service} has {rule.shards} shards",
            )


def _check_headers(rule: CompiledRule) -> Iterator[Finding]:
    if KEY_HEADER in rule.rule.when.headers:
        yield _error(
            rule,
            f"when.headers.{KEY_HEADER}",
            repr(rule.rule.when.headers[KEY_HEADER]),
            'the condition "key", which sees the key wherever it stands',
        )


def _check_single_keys(compiled: Sequence[CompiledRule]) -> Iterator[Finding]:
    key_rules = [rule for rule in compiled if rule.key is not None and rule.shards]
    if len(key_rules) > MAX_SINGLE_KEY_RULES:
        yield _error(
            key_rules[MAX_SINGLE_KEY_RULES],
            "when.key",
            f"{len(key_rules)} rules for single keys",
            f"at most {MAX_SINGLE_KEY_RULES}; use shard_range for more",
        )


def _check_owners(compiled: Sequence[CompiledRule]) -> Iterator[Finding]:
    for conflict in find_owner_conflicts(compiled):
        first, second = conflict.first.rule, conflict.second.rule
        yield _error(
            conflict.second,
            "then.site",
            f"{_site(second.then.site)}, while rule {conflict.first.number}"
            f" ({first.name}) sends {conflict.keys} to {_site(first.then.site)}:"
            " one key would have two owners, by host, path, method or header",
            f"the same site in both, or, to divide {second.then.service} between"
            " sites, shard_share, shard_range or key in a rule for each host, path,"
            " method and header that leads to it",
        )


def _warn_unreachable(compiled: Sequence[CompiledRule]) -> Iterator[Finding]:
    for later, earlier in find_unreachable(compiled):
        yield Finding(
            severity=Severity.WARNING,
            rule_number=later.number,
            rule_name=later.rule.name,
            location=f"rules.{later.number - 1}",
            found="no request reaches it",
            expected=(
                f"a place before rule {earlier.number} ({earlier.rule.name}), which"
                " takes all that it asks for"
            ),
        )


def _error(rule: CompiledRule, field: str, found: str, expected: str) -> Finding:
    return Finding(
        severity=Severity.ERROR,
        rule_number=rule.number,
        rule_name=rule.rule.name,
        location=f"rules.{rule.number - 1}.{field}",
        found=found,
        expected=expected,
    )


def _document_error(found: str, expected: str) -> Finding:
    return Finding(
        severity=Severity.ERROR,
        rule_number=None,
        rule_name=None,
        location="rules",
        found=found,
        expected=expected,
    )


def _one_of(names: object) -> str:
    assert isinstance(names, (frozenset, dict))
    return f"one of {', '.join(sorted(names))}"


def _site(site: str | None) -> str:
    return f"site {site!r}" if site is not None else "any site"
