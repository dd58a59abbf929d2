"""Limits on the values of rules that operators apply.

The limits apply only where a change can still be rejected. They are not part of the
model with which hosts read stored rules: with limits in the model, one rule beyond a
limit made every host reject a whole document that the store had accepted, and serve by
older rules or, after a restart, by none.
"""

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import final

from gentianwharf.matching import (
    MAX_KEY_CHARACTERS,
    Condition,
    Rule,
    ServiceShare,
    Target,
)

MAX_HOST_CHARACTERS = 253
MAX_METHODS = 16
MAX_HEADERS = 16
MAX_HEADER_CHARACTERS = 1024
MAX_SPLIT_SERVICES = 32
MAX_TRIES = 16
MAX_TIME_MS = 3_600_000
MAX_PRIORITY = 1000

NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,126}")
NAME_DESCRIPTION = (
    "1 to 127 characters of a-z, 0-9, '.', '_' and '-', the first a letter or digit"
)
PATH_PREFIX = re.compile(r"/[\x21-\x7e]{0,1023}")
METHOD = re.compile(r"[A-Z]{1,20}")
HEADER_NAME = re.compile(r"[a-z0-9!#$%&'*+.^_`|~-]{1,64}")


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class LimitViolation:
    """A field whose value exceeds a limit."""

    field: str
    found: str
    expected: str


def find_violations(rule: Rule) -> Iterator[LimitViolation]:
    """Yield every limit that ``rule`` violates."""
    yield from _check_name("name", rule.name)
    yield from _check_condition(rule.when)
    yield from _check_target(rule.then)


def _check_condition(when: Condition) -> Iterator[LimitViolation]:
    if when.host is not None:
        yield from _check_host(when.host)
    if when.path_prefix is not None and not PATH_PREFIX.fullmatch(when.path_prefix):
        expected = "'/' and at most 1023 printable ASCII characters, no spaces"
        yield _violation("when.path_prefix", when.path_prefix, expected)
    yield from _check_count("when.methods", len(when.methods), MAX_METHODS, "methods")
    for method in when.methods:
        if not METHOD.fullmatch(method):
            yield _violation("when.methods", method, "1 to 20 characters of A-Z")
    yield from _check_count("when.headers", len(when.headers), MAX_HEADERS, "headers")
    for name, value in when.headers.items():
        yield from _check_header(name, value)
    if when.key is not None and not 1 <= len(when.key) <= MAX_KEY_CHARACTERS:
        expected = f"a key of 1 to {MAX_KEY_CHARACTERS} characters"
        yield _violation("when.key", when.key, expected)


def _check_host(host: str) -> Iterator[LimitViolation]:
    if ":" in host:
        expected = f"a host without a port, write {host.split(':')[0]!r}"
        yield _violation("when.host", host, expected)
    if host != host.lower():
        yield _violation("when.host", host, f"lower case, write {host.lower()!r}")
    if not 1 <= len(host) <= MAX_HOST_CHARACTERS:
        expected = f"1 to {MAX_HOST_CHARACTERS} characters"
        yield _violation("when.host", host, expected)


def _check_header(name: str, value: str) -> Iterator[LimitViolation]:
    if name != name.lower():
        yield _violation("when.headers", name, f"lower case, write {name.lower()!r}")
    elif not HEADER_NAME.fullmatch(name):
        yield _violation("when.headers", name, "a header's name, at most 64 characters")
    if len(value) > MAX_HEADER_CHARACTERS:
        expected = f"at most {MAX_HEADER_CHARACTERS} characters"
        yield _violation(f"when.headers.{name}", value, expected)


def _check_target(then: Target) -> Iterator[LimitViolation]:
    yield from _check_name("then.service", then.service)
    if then.site is not None:
        yield from _check_name("then.site", then.site)
    yield from _check_name("then.request_class", then.request_class)
    for field, value, maximum in (
        ("then.deadline_ms", then.deadline_ms, MAX_TIME_MS),
        ("then.target_latency_ms", then.target_latency_ms, MAX_TIME_MS),
        ("then.most_tries", then.most_tries, MAX_TRIES),
        ("then.priority", then.priority, MAX_PRIORITY),
    ):
        if value is not None and value > maximum:
            yield LimitViolation(
                field=field, found=str(value), expected=f"at most {maximum}"
            )
    if then.split:
        yield from _check_split(then.service, then.split)


def _check_split(
    service: str, split: Sequence[ServiceShare]
) -> Iterator[LimitViolation]:
    field = "then.split"
    yield from _check_count(field, len(split), MAX_SPLIT_SERVICES, "parts")
    services = [part.service for part in split]
    for name in services:
        yield from _check_name(field, name)
    if len(set(services)) != len(services):
        expected = "each service once, write one part for it"
        yield LimitViolation(field=field, found="a service twice", expected=expected)
    if service not in services:
        expected = "the rule's service among its parts"
        yield LimitViolation(field=field, found=f"no {service!r}", expected=expected)
    if not any(part.weight for part in split):
        expected = "a weight above 0 for at least one part"
        yield LimitViolation(field=field, found="no weight above 0", expected=expected)


def _check_name(field: str, value: str) -> Iterator[LimitViolation]:
    if not NAME.fullmatch(value):
        yield _violation(field, value, NAME_DESCRIPTION)


def _check_count(
    field: str, count: int, maximum: int, noun: str
) -> Iterator[LimitViolation]:
    if count > maximum:
        yield LimitViolation(
            field=field, found=f"{count} {noun}", expected=f"at most {maximum}"
        )


MAX_SHOWN_CHARACTERS = 80


def _violation(field: str, value: str, expected: str) -> LimitViolation:
    found = repr(value)
    if len(found) > MAX_SHOWN_CHARACTERS:
        found = f"{found[: MAX_SHOWN_CHARACTERS - 3]}..."
    return LimitViolation(field=field, found=found, expected=expected)
