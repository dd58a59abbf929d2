"""Stand-ins for the platform and for backend servers, for tests and trials."""

from ._backend import StandInBackend
from ._main import hosts_of, listen_store, main
from ._store import StoreApp

__all__ = ["StandInBackend", "StoreApp", "hosts_of", "listen_store", "main"]
