"""What the backend servers are, and how each is started."""

from gentianwharf.platform.standin import KEYED, MOVED, UNKEYED

from ._crashing import ENDS

SERVICES = (*(KEYED,) * 5, *(UNKEYED,) * 3)
"""The service of each server, by number."""

MOVED_SERVICES = (MOVED,) * 2
"""Services of the additional servers for moved rules."""

DOMAINS = "abc"
"""The failure domains, in which hosts and servers are by turns."""

PROXIED, SILENT, FULL = END_MANNERS = range(3)
"""What is seen of a server that a request ends, by the remainder of its number: its
proxy closes its connections, or leaves them open without answers; or the server refuses
``REFUSED_SHARE`` of such requests before, and its proxy closes its connections."""

REFUSED_SHARE = 0.4
FAILED_SHARE = 0.1
"""Share of such requests that each server answers with 500 and does not run."""


def server_arguments(
    name: str, *, address: str, listed_as: str, store: str, early_share: float
) -> list[str]:
    """Return the arguments of a stand-in for a server.

    ``listed_as`` is where its proxy listens, ``early_share`` the share of the uploads
    that it answers before their end.
    """
    number = int(name.partition("-")[2])
    is_full = number % len(END_MANNERS) == FULL
    return [
        *("backend", name, service_of(name), address),
        *("--domain", DOMAINS[number % 3], "--slots", "4", "--work-ms", "30"),
        *("--store", store),
        *("--listed-as", listed_as, "--reports-arrivals"),
        *("--ends-on", ENDS, "--early-share", str(early_share)),
        *("--refused-share", str(REFUSED_SHARE if is_full else 0.0)),
        *("--failed-share", str(FAILED_SHARE)),
        *("--reports-holds", "--takes-orders"),
    ]


def service_of(server: str) -> str:
    """Return the service of a server."""
    return (SERVICES + MOVED_SERVICES)[int(server.partition("-")[2])]
