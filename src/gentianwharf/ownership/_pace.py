"""Phase of hosts' requests for rights: each follows the hosts that it gets them from.

Without alignment, each host that forwards a right would add up to one round of 100 ms
to its age, and at the fourth host none of its 400 ms would be left. Therefore all hosts
that ask witnesses do so at about the same time, hosts of other domains are asked
shortly afterwards, and each level of a domain's tree shortly after the level above.
Only the age of a right on arrival depends on this: a host with a different phase asks
the witnesses itself.
"""

from ._timing import RIGHT_ASK_EVERY_S

OTHERS_AFTER_S = 0.05
"""Delay between asking the own domain's witnesses and asking other domains' hosts.

Those hosts ask their witnesses at the same time, within a few milliseconds of event
loop delay, and need the answers before they can share them. Half a round tolerates the
largest difference.
"""

SHARED_AFTER_S = 0.08
"""Delay between an asker's own request and the requests of the next tree level."""

TREE_STEP_S = 0.02
"""Delay between tree levels: an answer's network latency and event loop lag."""

GAIN = 0.5
"""Fraction of a phase difference that is corrected at once. Correcting all of it would
oscillate, because the other host corrects its own phase meanwhile."""

ASKERS = 2
"""Hosts of a domain that ask the witnesses; one may be lost without any effect."""

FAN_OUT = 16
"""Hosts that ask one host for a share; twice as many while its neighbour is lost.

Three levels reach 8,738 hosts per domain.
"""


def nearer_positions(position: int) -> tuple[int, ...]:
    """Return the tree positions whose hosts the host at ``position`` may ask.

    >>> nearer_positions(1), nearer_positions(2), nearer_positions(40)
    ((), (0, 1), (2, 3))
    """
    if position < ASKERS:
        return ()
    nearer = (position - ASKERS) // FAN_OUT
    other = nearer + 1 if nearer % 2 == 0 else nearer - 1
    return tuple(parent for parent in (nearer, other) if parent < position)


def steps_from_askers(position: int) -> int:
    """Return the number of tree levels between ``position`` and the askers.

    >>> [steps_from_askers(position) for position in (0, 2, 33, 34, 600)]
    [0, 1, 1, 2, 3]
    """
    steps = 0
    while position >= ASKERS:
        position = (position - ASKERS) // FAN_OUT
        steps += 1
    return steps


def aimed_age_s(steps: int) -> float:
    """Return the target age of a right when a host ``steps`` levels down asks for it.

    >>> aimed_age_s(0), round(aimed_age_s(2), 3)
    (0.05, 0.1)
    """
    if steps == 0:
        return OTHERS_AFTER_S
    return SHARED_AFTER_S + (steps - 1) * TREE_STEP_S


def late_s(age_s: float, aimed_s: float) -> float:
    """Return how late a request was, in seconds; negative if it was early.

    >>> round(late_s(0.07, 0.03), 3), round(late_s(0.12, 0.03), 3)
    (0.04, -0.01)
    """
    half_s = RIGHT_ASK_EVERY_S / 2
    return (age_s - aimed_s + half_s) % RIGHT_ASK_EVERY_S - half_s
