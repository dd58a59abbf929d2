"""The stand-ins as separate processes: paused, killed and with invalid arguments."""

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from gentianwharf.errors import OutcomeUnknownError, PeerUnavailableError
from gentianwharf.infra import HttpBackendControl, HttpHostList, HttpStore
from gentianwharf.settings import load_settings, services_of

from .builders_platform import Loop, listed_host

EXAMPLES = Path(__file__).parent.parent / "examples"
COMMAND = [sys.executable, "-c", "from gentianwharf.standin import main; main()"]


@pytest.fixture
def loop() -> Iterator[Loop]:
    created = Loop()
    yield created
    created.close()


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
    name, address = process.stdout.readline().split()
    assert name == "store"
    return f"http://{address}"


def test_store_process_frozen_and_killed(
    loop: Loop, store_process: subprocess.Popen[str]
) -> None:
    """The store's process is paused, resumed, and then killed.

    While it is paused the kernel still accepts connections and data, so a write may
    take effect once it resumes: the outcome is unknown. After it is killed nothing
    listens on the port, so a request has no effect.
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
    stored = loop.run(store.get("a"))
    assert stored is not None
    assert stored.value == b"2"

    store_process.kill()
    store_process.wait()
    loop.run(store.close())
    with pytest.raises(PeerUnavailableError):
        loop.run(store.get("a"))


def test_all_serves_everything_around_a_daemon(loop: Loop, tmp_path: Path) -> None:
    # All of 127/8 is loopback: a separate address allows the ports of the example.
    ip = f"127.{os.getpid() % 250 + 1}.{os.getpid() // 250 % 250}.1"
    text = (EXAMPLES / "tunis" / "settings.jsonc").read_text()
    path = tmp_path / "settings.jsonc"
    path.write_text(text.replace("127.0.0.1", ip))
    settings = load_settings(path)
    process = subprocess.Popen(
        [*COMMAND, "all", str(path)], stdout=subprocess.PIPE, text=True
    )
    try:
        assert process.stdout is not None
        lines = iter(process.stdout.readline, "")
        assert any(line.startswith("store ") for line in lines)
        store = HttpStore(reactor=loop.reactor, url=settings.platform.store_url)
        assert loop.run(store.get("a")) is None
        hosts = HttpHostList(reactor=loop.reactor, url=settings.platform.hosts_url)
        assert [host.id for host in loop.run(hosts.read())] == [settings.host.id]
        control = HttpBackendControl(reactor=loop.reactor)
        for service in services_of(settings):
            for server in service.servers:
                assert loop.run(control.report(server)).server == server.id
    finally:
        process.kill()
        process.communicate()


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
    result = subprocess.run(
        [*COMMAND, *arguments], capture_output=True, text=True, check=False, timeout=60
    )
    assert result.returncode == 2
    assert expected in result.stderr
