"""Where the hosts keep what they agree on in the platform's store."""

OWN_PREFIX = "gentianwharf/"

LEADER_KEY = OWN_PREFIX + "leader"
"""Who leads, under its lease."""

RESIGNED_KEY = OWN_PREFIX + "resigned"
"""For how long the grants of a leader that resigned hold."""

TABLE_PREFIX = OWN_PREFIX + "keys/"
"""Below it the table of each keyed service, by the service's name."""
