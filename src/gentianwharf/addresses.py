"""Addresses that other parties state, as ``ip:port``."""

import re
from ipaddress import IPv6Address, ip_address

__all__ = ["split_address", "split_port"]

MAX_PORT = 65_535
_PORT = re.compile(r"[1-9][0-9]{0,4}")
_HOST = re.compile(r"[0-9A-Za-z.:\[\]-]{1,255}")
_BROADCAST = ip_address("255.255.255.255")


def split_port(text: str) -> tuple[str, int]:
    """Return what stands before the port, and the port.

    Raises ``ValueError`` unless both are there and no connection is ruled out.

    >>> split_port("host-1.example:80")
    ('host-1.example', 80)
    """
    host, _, port = text.rpartition(":")
    if _PORT.fullmatch(port) is None or int(port) > MAX_PORT:
        raise ValueError(
            f"address: expected a port from 1 to {MAX_PORT}, got {port[:40]!r}"
        )
    if _HOST.fullmatch(host) is None:
        raise ValueError(f"address: expected a host before the port, got {text[:60]!r}")
    return host, int(port)


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of ``ip:port``, or ``[ip]:port`` of IPv6.

    Raises ``ValueError`` unless a connection can be opened to it.

    >>> split_address("10.0.0.1:80"), split_address("[fd00::1]:80")
    (('10.0.0.1', 80), ('fd00::1', 80))
    """
    host, port = split_port(text)
    is_bracketed = host.startswith("[") and host.endswith("]")
    ip = ip_address(host[1:-1] if is_bracketed else host)
    if is_bracketed is not isinstance(ip, IPv6Address):
        raise ValueError(f"address: expected ip:port or [ip]:port, got {text[:60]!r}")
    if ip.is_unspecified or ip.is_multicast or ip == _BROADCAST:
        raise ValueError(f"address: expected the address of one machine, got {ip}")
    return str(ip), port
