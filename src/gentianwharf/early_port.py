"""Opens the callers' port before the other modules of a host are loaded.

A restarted host takes half a second to load its modules. Without a listener the kernel
resets every connection during that time, and most callers retry only once. Connections
to an early listener wait in the kernel's queue until the host can serve them.

This module imports only the standard library, since further imports would delay the
listener.
"""

import socket

BACKLOG = 1024
"""Length of the queue of connections that wait to be accepted. After a loss of hosts,
the remaining ones receive all of their callers at almost the same time."""


def open_port(address: str) -> socket.socket:
    """Listen on ``ip:port`` without accepting; raises ``OSError``."""
    ip, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
