"""Orders to a stand-in: lines of JSON on its standard input."""

from collections.abc import Callable
from typing import Annotated, Generic, TypeVar, final

import msgspec
from twisted.protocols.basic import LineOnlyReceiver

OrderT = TypeVar("OrderT")

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
"""A probability."""


class InvalidOrderError(ValueError):
    """A line is no order."""


@final
class OrderReader(LineOnlyReceiver, Generic[OrderT]):
    """Calls ``on_order`` with each order that it reads."""

    delimiter = b"\n"

    def __init__(
        self, *, order_type: type[OrderT], on_order: Callable[[OrderT], None]
    ) -> None:
        self._order_type = order_type
        self._on_order = on_order

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Decode a line, and call ``on_order``.

        Raises ``InvalidOrderError`` for unknown fields and values out of range.
        """
        try:
            order = msgspec.json.decode(line, type=self._order_type)
        except msgspec.DecodeError as error:
            raise InvalidOrderError(
                f"expected a {self._order_type.__name__} in JSON, got {line!r}:"
                f" {error}; correct the line, nothing was changed"
            ) from error
        self._on_order(order)
