"""Where the hosts keep what they agree on in the platform's store."""

OWN_PREFIX = "gentianwharf/"

LEADER_KEY = OWN_PREFIX + "leader"
"""Who leads, under its lease."""

FORMER_KEY = OWN_PREFIX + "former"
"""What each leader leaves for the next one to know of its grants."""

HOSTS_KEY = OWN_PREFIX + "hosts"
"""All hosts and their addresses, as the leader knows them."""

TABLE_PREFIX = OWN_PREFIX + "keys/"
"""Below it the table of each keyed service, by the service's name."""
