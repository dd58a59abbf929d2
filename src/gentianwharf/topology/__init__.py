"""The configured entities: failure domains, hosts, services and backend servers."""

from ._entities import BackendServer, Domain, Host, Service

__all__ = ["BackendServer", "Domain", "Host", "Service"]
