"""A measured figure and the machine that it was measured on."""

import os
import platform
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, final

import msgspec


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Figure:
    """One measured value.

    ``size`` holds what the value was measured at (shards, hosts, rules, ...), each
    by name, so that slopes can be fitted over several figures of one name.
    """

    name: str
    value: float
    unit: str
    size: Mapping[str, float]
    seed: int | None = None


def machine() -> dict[str, Any]:
    """Return what a figure depends on; no host name and no path."""
    return {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "architecture": platform.machine(),
    }


def figure_line(figure: Figure) -> str:
    """Return a figure as a line of JSON.

    >>> line = figure_line(Figure(name="match", value=1.5, unit="us",
    ...                           size={"rules": 10}))
    >>> line.startswith('{"name":"match","value":1.5,"unit":"us","size":{"rules":10}')
    True
    """
    fields = msgspec.to_builtins(figure) | {"machine": machine()}
    return msgspec.json.encode(fields).decode()
