"""A measured figure and the machine on which it was measured."""

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

    ``size`` maps each dimension of the input (shards, hosts, rules, ...) to its size,
    so that a line can be fitted to several figures of the same name.
    """

    name: str
    value: float
    unit: str
    size: Mapping[str, float]
    seed: int | None = None


def machine() -> dict[str, Any]:
    """Describe the machine and the interpreter, without host name and paths."""
    return {
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "architecture": platform.machine(),
    }


def figure_line(figure: Figure) -> str:
    """Format a figure as one line of JSON.

    >>> line = figure_line(Figure(name="match", value=1.5, unit="us",
    ...                           size={"rules": 10}))
    >>> line.startswith('{"name":"match","value":1.5,"unit":"us","size":{"rules":10}')
    True
    """
    fields = msgspec.to_builtins(figure) | {"machine": machine()}
    return msgspec.json.encode(fields).decode()
