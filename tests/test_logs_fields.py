"""The fields of log lines in the code agree with the table on the operators' page."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
PACKAGES = (
    "admission",
    "entryhost",
    "keyspace",
    "lifecycle",
    "logs",
    "platform",
    "relay",
    "store",
)
"""The packages that run in an entry host."""

UNITS = {"_per_s": "per s", "_ms": "ms", "_s": "s", "_bytes": "bytes"}
"""The unit of each suffix; of two that match, the first one counts."""


def page_fields() -> dict[str, str]:
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


def logged_fields() -> Iterator[tuple[str, str]]:
    """Yield each field that the code adds to a log line, and the module's path."""
    for package in PACKAGES:
        for path in sorted((ROOT / "src" / "gentianwharf" / package).glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.keyword) and node.arg == "extra":
                    for key in getattr(node.value, "keys", []):
                        if isinstance(key, ast.Constant):
                            yield str(key.value), f"{package}/{path.name}"


FIELDS = page_fields()
LOGGED = sorted(set(logged_fields()))


def test_table_is_found() -> None:
    assert {"request_id", "first", "last"} <= set(FIELDS)
    assert len(LOGGED) > 30


@pytest.mark.parametrize(("field", "module"), LOGGED)
def test_logged_field_is_on_the_page(field: str, module: str) -> None:
    assert field in FIELDS, f"{module} logs {field!r}; describe it in OPERATIONS.md"


@pytest.mark.parametrize("field", FIELDS)
def test_field_has_the_unit_of_its_suffix(field: str) -> None:
    unit = next(
        (unit for suffix, unit in UNITS.items() if field.endswith(suffix)), None
    )
    assert unit is None or FIELDS[field] == unit


@pytest.mark.parametrize("field", sorted(set(FIELDS) - {"error", "lines"}))
def test_field_on_the_page_is_logged(field: str) -> None:
    assert field in {name for name, _ in LOGGED}
