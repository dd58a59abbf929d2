"""The fields of log lines: one table on the operators' page, and the code by it."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
PACKAGES = ("entryhost", "keyspace", "lifecycle", "logs", "platform", "relay", "store")
"""What an entry host is made of."""

UNITS = {"_ms": "ms", "_s": "s", "_bytes": "bytes"}


def table() -> dict[str, str]:
    """Return the type of each field in the page's table."""
    lines = iter(PAGE.splitlines())
    for line in lines:
        if line == "| Field | Type | What it holds |":
            break
    next(lines)
    fields: dict[str, str] = {}
    for line in lines:
        if not line.startswith("|"):
            break
        names, kind, _ = (cell.strip() for cell in line.strip("|").split("|"))
        fields |= {name.strip("` "): kind for name in names.split(",")}
    return fields


def logged() -> Iterator[tuple[str, str]]:
    """Yield each field that the code gives a line, and the module."""
    for package in PACKAGES:
        for path in sorted((ROOT / "src" / "gentianwharf" / package).glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.keyword) and node.arg == "extra":
                    for key in getattr(node.value, "keys", []):
                        if isinstance(key, ast.Constant):
                            yield str(key.value), f"{package}/{path.name}"


FIELDS = table()
LOGGED = sorted(set(logged()))


def test_table_is_found() -> None:
    assert {"request_id", "first", "last"} <= set(FIELDS)
    assert len(LOGGED) > 30


@pytest.mark.parametrize(("field", "module"), LOGGED)
def test_field_stands_on_the_page(field: str, module: str) -> None:
    assert field in FIELDS, f"{module} logs {field!r}; describe it in OPERATIONS.md"


@pytest.mark.parametrize("field", FIELDS)
def test_field_has_the_unit_that_its_name_says(field: str) -> None:
    unit = next((one for end, one in UNITS.items() if field.endswith(end)), None)
    assert unit is None or FIELDS[field] == unit


@pytest.mark.parametrize("field", sorted(set(FIELDS) - {"error", "lines"}))
def test_field_on_the_page_is_logged(field: str) -> None:
    assert field in {name for name, _ in LOGGED}
