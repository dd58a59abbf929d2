"""The stand-in as a process of its own, frozen, killed and misused."""

import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from gentianwharf.errors import OutcomeUnknownError, PeerUnavailableError
from gentianwharf.platform import HttpHostList, HttpStore

from .builders_platform import Loop, listed_host

COMMAND = [sys.executable, "-c", "from gentianwharf.standin import main; main()"]


@pytest.fixture
def loop() -> Iterator[Loop]:
    made = Loop()
    yield made
    made.close()


@pytest.fixture
def store_process(tmp_path: Path) -> Iterator[subprocess.Popen[str]]:
    hosts = tmp_path / "hosts.json"
    hosts.write_text(
        '[{"id":"lac-1","domain":"lac","address":"127.0.0.1:1","leaving":false}]'
    )
    command = [*COMMAND, "store", "127.0.0.1:0", "--hosts", str(hosts)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    yield process
    process.kill()
    process.communicate()


def _url(process: subprocess.Popen[str]) -> str:
    assert process.stdout is not None
    what, address = process.stdout.readline().split()
    assert what == "store"
    return f"http://{address}"


def test_store_process_frozen_and_killed(
    loop: Loop, store_process: subprocess.Popen[str]
) -> None:
    """The store's process freezes, returns, and is then lost.

    While it is frozen its kernel still takes connections and bytes, so a write may
    take effect on its return: unknown. After its death nobody listens: no effect.
    """
    url = _url(store_process)
    store = HttpStore(reactor=loop.reactor, url=url, call_timeout_s=0.5)
    hosts = HttpHostList(reactor=loop.reactor, url=url)
    assert loop.run(hosts.read()) == [listed_host("lac-1")]
    loop.run(store.compare_and_swap("a", b"1", expected_revision=0))

    store_process.send_signal(signal.SIGSTOP)
    with pytest.raises(OutcomeUnknownError):
        loop.run(store.compare_and_swap("a", b"2", expected_revision=1))
    store_process.send_signal(signal.SIGCONT)
    found = loop.run(store.get("a"))
    assert found is not None
    assert found.value == b"2"

    store_process.kill()
    store_process.wait()
    loop.run(store.close())
    with pytest.raises(PeerUnavailableError):
        loop.run(store.get("a"))


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        pytest.param(["store", "localhost:80"], "host names", id="host-name"),
        pytest.param(
            ["store", "127.0.0.1:0", "--hosts", "missing.json"], "missing", id="hosts"
        ),
        pytest.param(["all", "missing.jsonc"], "can't be read", id="settings"),
    ],
)
def test_mistake_in_arguments_exits_2(arguments: list[str], expected: str) -> None:
    done = subprocess.run(
        [*COMMAND, *arguments], capture_output=True, text=True, check=False, timeout=60
    )
    assert done.returncode == 2
    assert expected in done.stderr
