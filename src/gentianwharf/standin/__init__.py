"""Stand-ins of the platform and of backend servers, for tests and trials."""

from ._backend import StandInBackend

__all__ = ["StandInBackend"]
