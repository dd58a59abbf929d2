"""Decoding of the responses of other hosts."""

from typing import TypeVar

import msgspec

from gentianwharf.errors import InputError

Value = TypeVar("Value")


def decode_response(
    decoder: msgspec.msgpack.Decoder[Value],
    response: bytes,
    *,
    expected: str,
    step: str,
    peer: str,
) -> Value:
    """Return the decoded response; raises ``InputError`` if it can't be decoded.

    ``expected`` names the content of the response in the error message.
    """
    try:
        return decoder.decode(response)
    except msgspec.MsgspecError as error:
        raise InputError(
            f"expected {expected}: {error}; is the host of another version?",
            step=step,
            peer=peer,
        ) from error
