"""Types of values in settings; addresses consist of an IP number and a port."""

from ipaddress import ip_address
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, ConfigDict, Field


def check_address(value: str) -> str:
    """Return ``value`` if it is IP:PORT, otherwise raise ``ValueError``.

    >>> check_address("127.0.0.1:8081")
    '127.0.0.1:8081'
    """
    host, separator, port = value.rpartition(":")
    if not separator or not _is_port(port):
        raise ValueError(f"expected IP:PORT, got {value!r}")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        version = ip_address(host[1:-1] if bracketed else host).version
        # A scope id is valid on one machine only.
        if bracketed is not (version == 6) or "%" in host:
            raise ValueError(host)
    except ValueError:
        raise ValueError(
            f"expected an IP number (version 6 in brackets), got {host!r}: host names"
            " are not looked up, write the address"
        ) from None
    return value


def _is_port(text: str) -> bool:
    # isdigit() accepts superscripts, for which int() raises ValueError. Digits of
    # other scripts are not accepted in addresses.
    return text.isascii() and text.isdigit() and len(text) < 6 and int(text) <= 65535


def check_ip_url(value: str) -> str:
    """Return ``value`` if it is http://IP:PORT, otherwise raise ``ValueError``.

    >>> check_ip_url("http://127.0.0.1:8081")
    'http://127.0.0.1:8081'
    """
    parts = urlsplit(value)
    if parts.scheme != "http" or parts.path not in ("", "/"):
        raise ValueError(f"expected http://IP:PORT, got {value!r}")
    check_address(parts.netloc)
    return value


def is_loopback(address: str) -> bool:
    """Return whether ``IP:PORT`` can be reached only from its own host.

    >>> is_loopback("127.0.0.1:8081"), is_loopback("10.0.0.1:8081")
    (True, False)
    """
    return ip_address(address.rpartition(":")[0].strip("[]")).is_loopback


Address = Annotated[str, AfterValidator(check_address)]
Url = Annotated[str, AfterValidator(check_ip_url)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class StrictModel(BaseModel):
    """Base class of the settings; rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)
