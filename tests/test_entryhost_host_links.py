"""Direct links to other hosts."""

from dataclasses import dataclass, field
from typing import Any, cast

import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost._host_links import CHECK_INTERVAL_S, IDLE_S, HostLinks

ADDRESS = "10.0.0.1:90"


@dataclass
class RecordedLink:
    """A link that records what is sent."""

    sent: list[bytes] = field(default_factory=list)
    is_closed: bool = False

    def send(self, data: bytes) -> bool:
        """Record a message."""
        assert not self.is_closed, "the real link raises an error"
        self.sent.append(data)
        return True

    def close(self) -> None:
        """Record the end."""
        self.is_closed = True


@pytest.fixture
def dialled() -> list[RecordedLink]:
    return []


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def links(dialled: list[RecordedLink], clock: Clock) -> HostLinks:
    def dial(address: str) -> Any:
        dialled.append(RecordedLink())
        return cast(Any, dialled[-1])

    return HostLinks(dial=dial, now_s=clock.seconds)


def test_messages_share_a_link(links: HostLinks, dialled: list[RecordedLink]) -> None:
    assert links.send(ADDRESS, b"1")
    assert links.send(ADDRESS, b"2")
    assert [link.sent for link in dialled] == [[b"1", b"2"]]


def test_idle_link_is_closed(
    links: HostLinks, dialled: list[RecordedLink], clock: Clock
) -> None:
    links.send(ADDRESS, b"1")
    clock.advance(IDLE_S + CHECK_INTERVAL_S)
    links.tick()
    assert dialled[0].is_closed
    assert not len(links)


def test_renewed_link_goes_to_the_new_process(
    links: HostLinks, dialled: list[RecordedLink]
) -> None:
    """Guards against a link to a former process, which opens again after a delay."""
    links.send(ADDRESS, b"1")
    links.renew(ADDRESS)
    links.send(ADDRESS, b"2")
    assert [link.sent for link in dialled] == [[b"1"], [b"2"]]
    assert [link.is_closed for link in dialled] == [True, False]


def test_closed_links_are_opened_again(
    links: HostLinks, dialled: list[RecordedLink]
) -> None:
    links.send(ADDRESS, b"1")
    links.close()
    links.send(ADDRESS, b"2")
    assert len(dialled) == 2
