"""Reading of what fellow hosts answer."""

from typing import TypeVar

import msgspec

from gentianwharf.errors import InputError

Value = TypeVar("Value")


def decode_response(
    decoder: msgspec.msgpack.Decoder[Value],
    answer: bytes,
    *,
    expected: str,
    step: str,
    peer: str,
) -> Value:
    """Return a host's answer; raises ``InputError`` when it is not ``expected``."""
    try:
        return decoder.decode(answer)
    except msgspec.MsgspecError as error:
        raise InputError(
            f"expected {expected}: {error}; is the host of another version?",
            step=step,
            peer=peer,
        ) from error
