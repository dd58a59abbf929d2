"""A value that can't be applied does not prevent the next one from being applied."""

from random import Random

from gentianwharf.errors import InputError
from gentianwharf.infra import VersionedValue

from .builders_spread import Cluster, running


def test_exception_on_one_version_does_not_block_the_next() -> None:
    """Rules that no host could apply are replaced, but the new ones are not applied.

    Applying one version raises on every host, since all run the same code. The
    exception ended every watch of the store without a log line: first those of the two
    watchers of a failure domain, then those of the standby watchers.
    """
    cluster = running(Cluster(per_domain=1, domains=["lac"]))
    lone = cluster.members["lac-1"]

    def raise_error(value: VersionedValue) -> None:
        raise ValueError("a fault of ours")

    lone.spread._on_value = raise_error
    cluster.write(b"stumbled over")
    cluster.run(10)
    lone.spread._on_value = lone.seen.append
    cluster.write(b"good again")
    cluster.run(10)
    assert lone.seen[-1].revision == 3
    assert lone.spread.counts.failed == 1


def test_value_that_can_not_be_sent_leaves_the_watch_running() -> None:
    """A host receives no more changes from the store until it is restarted.

    The links raise on a message that is larger than receivers accept. The exception
    propagated to the watch that had read the value from the store, and ended it.
    """
    cluster = running(Cluster(per_domain=2, domains=["lac"]))
    first = next(
        one for one in cluster.members.values() if one.spread._overlay.watch_rank == 0
    )
    max_bytes = 10_000
    send = first.spread._peers.send

    def send_small(host_id: str, message: bytes) -> bool:
        if len(message) > max_bytes:
            raise InputError("too large", step="send to peer", peer=host_id)
        return send(host_id, message)

    first.spread._peers.send = send_small  # type: ignore[method-assign]
    cluster.write(Random(1).randbytes(2 * max_bytes))
    cluster.run(1)
    cluster.cut_hosts.add(first.host.id)
    cluster.write(b"next")
    cluster.run(10)
    assert first.revision() == 3
