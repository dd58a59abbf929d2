"""Delays after which less suitable hosts stand for election as leader."""

from collections.abc import Sequence

from ._peer_messages import HostAddress

SMALL_HOST_CAMPAIGN_DELAY_S = 0.2
"""Additional delay before a host with little processor time tries to lead.

The leader's work grows with the deployment: a host with 0.4 cores that led 85 servers
could not renew their grants in time. The delay is short compared to the lease, so that
one of the hosts leads even if all of them are small.
"""

SLOW_LINK_CAMPAIGN_DELAY_S = 0.2
"""Additional delay before a host tries to lead while others have faster links.

All hosts wait for the leader to read a change from the store: a list of 5,000 rules
takes two seconds at 5 Mbit/s.
"""

SUFFICIENT_LINK_BYTES_PER_S = 3_125_000
"""Bandwidth from which on a faster link gives a candidate no further advantage."""


def small_host_delay_s(cores: float) -> float:
    """Return the campaign delay of a host with ``cores`` processor cores.

    >>> small_host_delay_s(0.5), small_host_delay_s(2.0)
    (0.1, 0.0)
    """
    return SMALL_HOST_CAMPAIGN_DELAY_S * max(0.0, 1.0 - cores)


def slow_link_delay_s(link_bytes_per_s: float, listed: Sequence[HostAddress]) -> float:
    """Return the campaign delay of a host, given the bandwidths of all listed hosts.

    >>> listed = [HostAddress("h1", "10.0.0.1:90", link_bytes_per_s=1_250_000)]
    >>> slow_link_delay_s(625_000, listed), slow_link_delay_s(1_250_000, listed)
    (0.1, 0.0)
    """
    fastest = max((host.link_bytes_per_s for host in listed), default=0.0)
    wanted = min(SUFFICIENT_LINK_BYTES_PER_S, fastest)
    if link_bytes_per_s >= wanted:
        return 0.0
    return SLOW_LINK_CAMPAIGN_DELAY_S * (1.0 - link_bytes_per_s / wanted)
