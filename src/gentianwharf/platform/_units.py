"""Times, versions and values as the platform writes them."""

import re
from base64 import b64decode, b64encode
from binascii import Error as Base64Error

_TIME = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_VERSION = re.compile(r"r(\d+)")


def decode_time_s(text: str) -> float:
    """Return the seconds of a time, a number with the unit ``ms`` or ``s``.

    >>> decode_time_s("1500ms"), decode_time_s("2.5s")
    (1.5, 2.5)
    """
    found = _TIME.fullmatch(text)
    if found is None:
        raise ValueError(
            f"expected a time such as '1500ms' or '2.5s', got {text[:40]!r}"
        )
    number, unit = found.groups()
    return float(number) / 1000 if unit == "ms" else float(number)


def encode_time(time_s: float) -> str:
    """Return a time in whole milliseconds.

    >>> encode_time(4.0)
    '4000ms'
    """
    return f"{round(time_s * 1000)}ms"


def decode_version(text: str) -> int:
    """Return the number of a configuration's version.

    >>> decode_version("r12")
    12
    """
    found = _VERSION.fullmatch(text)
    if found is None:
        raise ValueError(f"expected a version such as 'r12', got {text[:40]!r}")
    return int(found.group(1))


def decode_value(text: str) -> bytes:
    """Return the bytes of a stored value, which travels as padded base64."""
    try:
        return b64decode(text, validate=True)
    except Base64Error as error:
        raise ValueError(f"expected base64, got {text[:40]!r}: {error}") from error


def encode_value(value: bytes) -> str:
    """Return a value as it travels to the store."""
    return b64encode(value).decode("ascii")
