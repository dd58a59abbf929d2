"""The callers' port, open before the rest of a host is loaded.

A host that starts again takes half a second to load its modules. Without a listener the
kernel resets every caller that comes meanwhile, and most try only once more. What is
listened to early waits in the kernel's queue and is served as soon as the host can.

Only the standard library is imported here: anything more would delay what it is for.
"""

import socket

BACKLOG = 1024
"""Callers' connections that wait to be accepted: after a loss of hosts the others get
all of theirs within a moment."""


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
