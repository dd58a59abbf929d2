"""Keys of the hosts' shared state in the platform's store."""

OWN_PREFIX = "gentianwharf/"

LEADER_KEY = OWN_PREFIX + "leader"
"""The leader's identity, attached to its lease."""

PREVIOUS_LEADER_KEY = OWN_PREFIX + "former"
"""Information about its grants that each leader leaves for the next one."""

HOSTS_KEY = OWN_PREFIX + "hosts"
"""All hosts and their addresses, written by the leader."""

TABLE_PREFIX = OWN_PREFIX + "keys/"
"""Prefix of the table of each keyed service, followed by the service's name."""

TUNNEL_SECRET_KEY = OWN_PREFIX + "tunnel-secret"
"""What hosts show each other when they open tunnels, written once."""
