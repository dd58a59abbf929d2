"""What an operator's rule may hold, beyond what matching needs.

These bounds are for whoever may still be told no. They are no part of the model in
which hosts read rules: one rule beyond a bound there made every host refuse a whole
list that the store had accepted, serve by older rules, and by none after a restart.
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

MOST_HOST_CHARACTERS = 253
MOST_METHODS = 16
MOST_HEADERS = 16
MOST_HEADER_CHARACTERS = 1024
MOST_PARTS = 32
MOST_TRIES = 16
MOST_TIME_MS = 3_600_000
MOST_PRIORITY = 1000

NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,126}")
NAME_FORM = (
    "1 to 127 characters of a-z, 0-9, '.', '_' and '-', the first a letter or digit"
)
PATH_PREFIX = re.compile(r"/[\x21-\x7e]{0,1023}")
METHOD = re.compile(r"[A-Z]{1,20}")
HEADER_NAME = re.compile(r"[a-z0-9!#$%&'*+.^_`|~-]{1,64}")


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Breach:
    """A field that goes beyond a bound."""

    field: str
    found: str
    expected: str


def breaches(rule: Rule) -> Iterator[Breach]:
    """Return every bound that ``rule`` goes beyond."""
    yield from _name("name", rule.name)
    yield from _condition_breaches(rule.when)
    yield from _target_breaches(rule.then)


def _condition_breaches(when: Condition) -> Iterator[Breach]:
    if when.host is not None:
        yield from _host_breaches(when.host)
    if when.path_prefix is not None and not PATH_PREFIX.fullmatch(when.path_prefix):
        expected = "'/' and at most 1023 printable ASCII characters, no spaces"
        yield _breach("when.path_prefix", when.path_prefix, expected)
    yield from _most("when.methods", len(when.methods), MOST_METHODS, "methods")
    for method in when.methods:
        if not METHOD.fullmatch(method):
            yield _breach("when.methods", method, "1 to 20 characters of A-Z")
    yield from _most("when.headers", len(when.headers), MOST_HEADERS, "headers")
    for name, value in when.headers.items():
        yield from _header_breaches(name, value)
    if when.key is not None and not 1 <= len(when.key) <= MAX_KEY_CHARACTERS:
        expected = f"a key of 1 to {MAX_KEY_CHARACTERS} characters"
        yield _breach("when.key", when.key, expected)


def _host_breaches(host: str) -> Iterator[Breach]:
    if ":" in host:
        expected = f"a host without a port, write {host.split(':')[0]!r}"
        yield _breach("when.host", host, expected)
    if host != host.lower():
        yield _breach("when.host", host, f"lower case, write {host.lower()!r}")
    if not 1 <= len(host) <= MOST_HOST_CHARACTERS:
        expected = f"1 to {MOST_HOST_CHARACTERS} characters"
        yield _breach("when.host", host, expected)


def _header_breaches(name: str, value: str) -> Iterator[Breach]:
    if name != name.lower():
        yield _breach("when.headers", name, f"lower case, write {name.lower()!r}")
    elif not HEADER_NAME.fullmatch(name):
        yield _breach("when.headers", name, "a header's name, at most 64 characters")
    if len(value) > MOST_HEADER_CHARACTERS:
        expected = f"at most {MOST_HEADER_CHARACTERS} characters"
        yield _breach(f"when.headers.{name}", value, expected)


def _target_breaches(then: Target) -> Iterator[Breach]:
    yield from _name("then.service", then.service)
    if then.site is not None:
        yield from _name("then.site", then.site)
    yield from _name("then.request_class", then.request_class)
    for field, value, most in (
        ("then.deadline_ms", then.deadline_ms, MOST_TIME_MS),
        ("then.target_latency_ms", then.target_latency_ms, MOST_TIME_MS),
        ("then.most_tries", then.most_tries, MOST_TRIES),
        ("then.priority", then.priority, MOST_PRIORITY),
    ):
        if value is not None and value > most:
            yield Breach(field=field, found=str(value), expected=f"at most {most}")
    if then.split:
        yield from _split_breaches(then.service, then.split)


def _split_breaches(service: str, split: Sequence[ServiceShare]) -> Iterator[Breach]:
    field = "then.split"
    yield from _most(field, len(split), MOST_PARTS, "parts")
    services = [part.service for part in split]
    for name in services:
        yield from _name(field, name)
    if len(set(services)) != len(services):
        expected = "each service once, write one part for it"
        yield Breach(field=field, found="a service twice", expected=expected)
    if service not in services:
        expected = "the rule's service among its parts"
        yield Breach(field=field, found=f"no {service!r}", expected=expected)
    if not any(part.weight for part in split):
        expected = "a weight above 0 for at least one part"
        yield Breach(field=field, found="no weight above 0", expected=expected)


def _name(field: str, value: str) -> Iterator[Breach]:
    if not NAME.fullmatch(value):
        yield _breach(field, value, NAME_FORM)


def _most(field: str, count: int, most: int, what: str) -> Iterator[Breach]:
    if count > most:
        yield Breach(field=field, found=f"{count} {what}", expected=f"at most {most}")


MOST_SHOWN_CHARACTERS = 80


def _breach(field: str, value: str, expected: str) -> Breach:
    found = repr(value)
    if len(found) > MOST_SHOWN_CHARACTERS:
        found = f"{found[: MOST_SHOWN_CHARACTERS - 3]}..."
    return Breach(field=field, found=found, expected=expected)
