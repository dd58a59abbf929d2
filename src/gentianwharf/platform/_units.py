"""Encoding of the platform's times, versions and values."""

import re
from base64 import b64decode, b64encode
from binascii import Error as Base64Error

_TIME = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_VERSION = re.compile(r"r(\d+)")


def decode_time_s(text: str) -> float:
    """Return the seconds of a time, which is a number with the unit ``ms`` or ``s``.

    >>> decode_time_s("1500ms"), decode_time_s("2.5s")
    (1.5, 2.5)
    """
    match = _TIME.fullmatch(text)
    if match is None:
        raise ValueError(
            f"expected a time such as '1500ms' or '2.5s', got {text[:40]!r}"
        )
    number, unit = match.groups()
    return float(number) / 1000 if unit == "ms" else float(number)


def encode_time(time_s: float) -> str:
    """Return a time as a string of whole milliseconds.

    >>> encode_time(4.0)
    '4000ms'
    """
    return f"{round(time_s * 1000)}ms"


def decode_version(text: str) -> int:
    """Return the number of a configuration's version.

    >>> decode_version("r12")
    12
    """
    match = _VERSION.fullmatch(text)
    if match is None:
        raise ValueError(f"expected a version such as 'r12', got {text[:40]!r}")
    return int(match.group(1))


def decode_value(text: str) -> bytes:
    """Return the bytes of a stored value, which is encoded as padded base64."""
    try:
        return b64decode(text, validate=True)
    except Base64Error as error:
        raise ValueError(f"expected base64, got {text[:40]!r}: {error}") from error


def encode_value(value: bytes) -> str:
    """Return a value as padded base64, for the store."""
    return b64encode(value).decode("ascii")
