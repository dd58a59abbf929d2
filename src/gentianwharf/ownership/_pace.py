"""When hosts ask for rights: each a moment after those that it gets them from.

Each host that passes a right on would add up to one round of 100 ms to its age, so
that the fourth had nothing of the 400 ms left. Here all hosts that ask witnesses do so
at about the same instant, those of other domains are asked a moment later, and each
step of a domain's tree a moment after the one before. Only how old a right is when it
arrives depends on it: a host that keeps another pace asks the witnesses itself.
"""

from ._timing import RIGHT_ASK_EVERY_S

OTHERS_AFTER_S = 0.05
"""How long after its own domain's witnesses a host asks other domains' hosts.

These ask their witnesses at the same time, give or take some milliseconds of the
loop, and need the answers before they can share them. Half a round bears the most.
"""

SHARED_AFTER_S = 0.08
"""How long after an asker's own question its neighbours in the tree ask it."""

STEP_S = 0.02
"""Time from one step of the tree to the next: an answer's way and the loop's lag."""

GAIN = 0.5
"""Part of a difference of pace that is mended at once; all of it would swing, since
the other host's own pace is mended meanwhile."""

ASKERS = 2
"""Hosts of a domain that ask the witnesses; one may be lost without being felt."""

FAN_OUT = 16
"""Hosts that ask one host for a share, twice that when its neighbour is lost.

Three steps reach 8,738 hosts a domain.
"""


def nearer_positions(position: int) -> tuple[int, ...]:
    """Return the places in the tree whose hosts the one at ``position`` may ask.

    >>> nearer_positions(1), nearer_positions(2), nearer_positions(40)
    ((), (0, 1), (2, 3))
    """
    if position < ASKERS:
        return ()
    nearer = (position - ASKERS) // FAN_OUT
    other = nearer + 1 if nearer % 2 == 0 else nearer - 1
    return tuple(one for one in (nearer, other) if one < position)


def steps_from_askers(position: int) -> int:
    """Return how many hosts lie between this place and the witnesses.

    >>> [steps_from_askers(one) for one in (0, 2, 33, 34, 600)]
    [0, 1, 1, 2, 3]
    """
    steps = 0
    while position >= ASKERS:
        position = (position - ASKERS) // FAN_OUT
        steps += 1
    return steps


def aimed_age_s(steps: int) -> float:
    """Return how old a right should be when a host ``steps`` down asks for its share.

    >>> aimed_age_s(0), round(aimed_age_s(2), 3)
    (0.05, 0.1)
    """
    if steps == 0:
        return OTHERS_AFTER_S
    return SHARED_AFTER_S + (steps - 1) * STEP_S


def late_s(age_s: float, aimed_s: float) -> float:
    """Return by how much a question came too late, negative for too early.

    >>> round(late_s(0.07, 0.03), 3), round(late_s(0.12, 0.03), 3)
    (0.04, -0.01)
    """
    half_s = RIGHT_ASK_EVERY_S / 2
    return (age_s - aimed_s + half_s) % RIGHT_ASK_EVERY_S - half_s
