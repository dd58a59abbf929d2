"""Runs an entry host whose connections to servers and hosts use links of its own.

``SOAK_LINKS`` is a JSON object: the addresses at which servers are listed, and those of
other hosts, and the port of this host's link to each, on the same IP address.
"""

import json
import os
import runpy
import signal
from collections.abc import Mapping

# The program under test sets its own handler before its imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from typing import Any  # noqa: E402

from twisted.internet import reactor as installed_reactor  # noqa: E402

from gentianwharf import links  # noqa: E402

LINKS_VARIABLE = "SOAK_LINKS"


def use_own_links(reactor: Any, link_ports: Mapping[str, int]) -> None:
    """Let connections to the addresses in ``link_ports`` go to these ports."""
    connect = reactor.connectTCP

    def connect_by_link(host: str, port: int, *args: Any, **kwargs: Any) -> Any:
        return connect(host, link_ports.get(f"{host}:{port}", port), *args, **kwargs)

    reactor.connectTCP = connect_by_link
    dial = links.dial

    def dial_by_link(address: str) -> links.NngLink:
        ip, _, port = address.rpartition(":")
        return dial(f"{ip}:{link_ports.get(address, port)}")

    # The modules that use it are imported later.
    links.dial = dial_by_link


def main() -> None:
    """Run the program that the platform runs."""
    use_own_links(installed_reactor, json.loads(os.environ[LINKS_VARIABLE]))
    runpy.run_module("gentianwharf.entry", run_name="__main__")


if __name__ == "__main__":
    main()
