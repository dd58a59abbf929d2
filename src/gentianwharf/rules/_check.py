"""The check of a whole rule document against what exists."""

from collections.abc import Iterator, Sequence
from typing import final

from gentianwharf.matching import KEY_HEADER, CompiledRule, compile_rules

from ._bounds import breaches
from ._codec import document_size_bytes
from ._cover import unreachable
from ._document import RuleDocument
from ._owners import two_owners
from ._results import Finding, Severity
from ._scope import RuleScope

MAX_RULES = 500
"""Rules are compared pairwise on the daemon's only thread, which must not stand still
for longer than a right to send lasts (400 ms); see ``bench/rules.py``."""

MAX_DOCUMENT_BYTES = 256 * 1024
"""A quarter of what the store takes for a value, so that its record fits beside it."""

MAX_SINGLE_KEY_RULES = 200
"""Each takes an entry of its own in the assignment table, which every host holds."""


@final
class RuleChecker:
    """Finds what is wrong with rule documents for one customer's services."""

    def __init__(self, *, scope: RuleScope) -> None:
        self._scope = scope

    def check(self, document: RuleDocument) -> tuple[Finding, ...]:
        """Return every finding, errors first; a document with an error is refused.

        The owners of keys are compared only once the rest is right: an unknown
        service has no shards to compare. A list that is too long is not looked at.
        """
        if len(document.rules) > MAX_RULES:
            found, expected = f"{len(document.rules)} rules", f"at most {MAX_RULES}"
            return (_document_error(found, expected),)
        compiled = compile_rules(document, self._scope.shards)
        findings = [*_check_size(document), *_check_names(compiled)]
        for one in compiled:
            findings.extend(_check_bounds(one))
            findings.extend(self._check_rule(one))
        findings.extend(_check_single_keys(compiled))
        if not any(one.severity is Severity.ERROR for one in findings):
            findings.extend(_check_owners(compiled))
            findings.extend(_warn_unreachable(compiled))
            findings.extend(self._warn_unused(compiled))
        return tuple(sorted(findings, key=lambda one: one.severity is Severity.WARNING))

    def _check_rule(self, one: CompiledRule) -> Iterator[Finding]:
        then = one.rule.then
        scope = self._scope
        if then.service not in scope.shards:
            known = _one_of(scope.shards)
            yield _error(one, "then.service", repr(then.service), known)
            return
        if then.site is not None and then.site not in scope.sites[then.service]:
            yield _error(
                one,
                "then.site",
                repr(then.site),
                f"{_one_of(scope.sites[then.service])}, where {then.service} has"
                " servers",
            )
        if then.request_class not in scope.classes:
            known = _one_of(scope.classes)
            yield _error(one, "then.request_class", repr(then.request_class), known)
        yield from self._check_deadline(one)
        yield from _check_key(one)
        yield from _check_shards(one)
        yield from _check_headers(one)

    def _check_deadline(self, one: CompiledRule) -> Iterator[Finding]:
        most = self._scope.deadline_caps_ms.get(one.rule.then.service)
        deadline = one.rule.then.deadline_ms
        if most is not None and deadline is not None and deadline > most:
            yield _error(
                one,
                "then.deadline_ms",
                str(deadline),
                f"at most {most}, the service's deadline_cap_ms, since a lost server's"
                " keys wait for the longest deadline",
            )

    def _warn_unused(self, compiled: Sequence[CompiledRule]) -> Iterator[Finding]:
        used = {one.rule.then.service for one in compiled}
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
    first: dict[str, int] = {}
    for one in compiled:
        number = first.setdefault(one.rule.name, one.number)
        if number != one.number:
            yield _error(
                one, "name", repr(one.rule.name), f"another name than rule {number}'s"
            )


def _check_bounds(one: CompiledRule) -> Iterator[Finding]:
    for breach in breaches(one.rule):
        yield _error(one, breach.field, breach.found, breach.expected)


def _check_key(one: CompiledRule) -> Iterator[Finding]:
    if one.key_source is not None:
        return
    remedy = f'"key": {{"place": "header", "name": "{KEY_HEADER}"}} or another place'
    if one.shards:
        yield _error(
            one,
            "then.key",
            "none",
            f"where the key stands, since {one.rule.then.service} is keyed: {remedy}",
        )
    elif one.key is not None:
        yield _error(
            one,
            "then.key",
            "none",
            f"where the key stands, since the rule asks for one: {remedy}",
        )


def _check_shards(one: CompiledRule) -> Iterator[Finding]:
    when, service = one.rule.when, one.rule.then.service
    for field in ("shard_share", "shard_range"):
        if getattr(when, field) is not None and not one.shards:
            yield _error(
                one,
                f"when.{field}",
                str(getattr(when, field)),
                f"no condition on shards, since {service} is not keyed",
            )
    if when.shard_range is not None and one.shards:
        last = when.shard_range.last
        if last >= one.shards:
            yield _error(
                one,
                "when.shard_range.last",
                str(last),
                f"at most {one.shards - 1}, since {service} has {one.shards} shards",
            )


def _check_headers(one: CompiledRule) -> Iterator[Finding]:
    if KEY_HEADER in one.rule.when.headers:
        yield _error(
            one,
            f"when.headers.{KEY_HEADER}",
            repr(one.rule.when.headers[KEY_HEADER]),
            'the condition "key", which sees the key wherever it stands',
        )


def _check_single_keys(compiled: Sequence[CompiledRule]) -> Iterator[Finding]:
    single = [one for one in compiled if one.key is not None and one.shards]
    if len(single) > MAX_SINGLE_KEY_RULES:
        yield _error(
            single[MAX_SINGLE_KEY_RULES],
            "when.key",
            f"{len(single)} rules for single keys",
            f"at most {MAX_SINGLE_KEY_RULES}; use shard_range for more",
        )


def _check_owners(compiled: Sequence[CompiledRule]) -> Iterator[Finding]:
    for conflict in two_owners(compiled):
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
    for later, earlier in unreachable(compiled):
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


def _error(one: CompiledRule, field: str, found: str, expected: str) -> Finding:
    return Finding(
        severity=Severity.ERROR,
        rule_number=one.number,
        rule_name=one.rule.name,
        location=f"rules.{one.number - 1}.{field}",
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
