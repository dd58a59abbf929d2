"""A value that a host stumbles over doesn't keep it from the next one."""

from random import Random

from gentianwharf.errors import InputError
from gentianwharf.infra import VersionedValue

from .builders_spread import Cluster, running


def test_fault_in_one_version_leaves_no_host_deaf_to_the_next() -> None:
    """Operators replace rules that no host could put in force, and nothing happens.

    Putting one version in force raises, on every host, since all run the same code. The
    exception ended each watch of the store without a word: first those of a failure
    domain's two watchers, then of those that stepped in for them.
    """
    cluster = running(Cluster(per_domain=1, domains=["lac"]))
    lone = cluster.members["lac-1"]

    def stumble(value: VersionedValue) -> None:
        raise ValueError("a fault of ours")

    lone.spread._on_value = stumble
    cluster.write(b"stumbled over")
    cluster.run(10)
    lone.spread._on_value = lone.seen.append
    cluster.write(b"good again")
    cluster.run(10)
    assert lone.seen[-1].revision == 3
    assert lone.spread.counts.failed == 1


def test_value_that_can_not_be_sent_leaves_the_watch_running() -> None:
    """One host of a failure domain hears no more of the store, until it is restarted.

    The links refuse a message that is larger than any receiver takes, by raising. It
    went through the watch of the store that had brought the value, and ended it.
    """
    cluster = running(Cluster(per_domain=2, domains=["lac"]))
    first = next(
        one for one in cluster.members.values() if one.spread._overlay.watch_rank == 0
    )
    most_bytes = 10_000
    send = first.spread._peers.send

    def send_small(host_id: str, message: bytes) -> bool:
        if len(message) > most_bytes:
            raise InputError("too large", step="send to peer", peer=host_id)
        return send(host_id, message)

    first.spread._peers.send = send_small  # type: ignore[method-assign]
    cluster.write(Random(1).randbytes(2 * most_bytes))
    cluster.run(1)
    cluster.cut_hosts.add(first.host.id)
    cluster.write(b"next")
    cluster.run(10)
    assert first.revision() == 3
