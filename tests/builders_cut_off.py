"""Entry hosts, servers and a store on loopback, with links that a test can cut."""

import json
import os
from collections.abc import Coroutine, Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from random import Random
from typing import Any, final

from soak._server_link import LinkCut, ServerLink
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from gentianwharf.entryhost import EntryHost
from gentianwharf.http_agent import BytesBody
from gentianwharf.platform import PlatformStore, decode_host_settings
from gentianwharf.platform.standin import (
    ADDED,
    CALLERS_PORT,
    KEYED,
    LOOK_UPS,
    POSTINGS,
    UNKEYED,
    Arrival,
    Items,
    RequestRun,
    ServerSpec,
    StandInServer,
    StandInStore,
    configuration,
    settings_text,
)
from gentianwharf.store import Change
from tests.builders_relay import in_reactor, running_reactor

FIRST_NETWORK, NETWORKS, SUBNETS = 20, 100, 80
SERVER_PORT, FIRST_LINK_PORT = 8400, 8500
PROBLEM_TYPE = "application/problem+json"
DEADLINE_MS = 1500
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
WORK_S = 0.02


class AddressGroup(IntEnum):
    """What the IP addresses of a group belong to."""

    STORE = 0
    HOSTS = 1
    SERVERS = 2


def loopback_ip(group: AddressGroup, number: int) -> str:
    """Return an address that differs between processes with ids near each other.

    Tests of the soak and of repeats use other networks.
    """
    pid = os.getpid()
    third = pid // NETWORKS % SUBNETS * len(AddressGroup) + group
    return f"127.{FIRST_NETWORK + pid % NETWORKS}.{third}.{number}"


@final
class HostNetwork:
    """The reactor of one host, whose connections to servers use links of its own."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self.links: dict[str, ServerLink] = {}
        self._link_ports: dict[str, int] = {}
        self.ports: list[Any] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reactor, name)

    def add_link(self, server_address: str, port: int) -> None:
        """Add the link to a server; it listens on ``port`` of the server's address."""
        ip = server_address.rpartition(":")[0]
        self._link_ports[server_address] = port
        self.links[server_address] = ServerLink(
            reactor=self._reactor, listens_on=f"{ip}:{port}", target=server_address
        )

    def connectTCP(self, host: str, port: int, *args: Any, **kwargs: Any) -> Any:  # noqa: N802
        """Connect, to a server over this host's own link."""
        port = self._link_ports.get(f"{host}:{port}", port)
        return self._reactor.connectTCP(host, port, *args, **kwargs)

    def listenTCP(self, *args: Any, **kwargs: Any) -> Any:  # noqa: N802
        """Listen, and remember the port for ``stop``."""
        port = self._reactor.listenTCP(*args, **kwargs)
        self.ports.append(port)
        return port

    def stop(self) -> None:
        """Close all links and ports."""
        for link in self.links.values():
            link.stop()
        for port in self.ports:
            port.stopListening()


@final
@dataclass(kw_only=True)
class Answer:
    """What a caller got for one request, tried once."""

    id: str
    host: str
    status: int
    title: str = ""
    """What the host stated where it answered in place of a server."""
    sent_s: float = 0.0
    """When it was sent, by the reactor's clock."""
    took_s: float = 0.0

    @property
    def is_read(self) -> bool:
        """Whether the request may be repeated."""
        return not self.id.startswith("post")

    @property
    def is_served(self) -> bool:
        """Whether a server answered it with success."""
        return self.status == 200


@final
class CutOffDeployment:
    """Hosts by name; ``domains`` names the failure domain of each."""

    def __init__(self, *, domains: str, servers_per_service: int = 3) -> None:
        self.reactor = running_reactor()
        self.names = [f"host-{number}" for number in range(len(domains))]
        self.networks: dict[str, HostNetwork] = {}
        self.hosts: dict[str, EntryHost] = {}
        self.servers: dict[str, StandInServer] = {}
        self.items = Items(now_s=self.reactor.seconds)
        self.runs: list[RequestRun] = []
        self.arrivals: list[Arrival] = []
        self._ports: list[Any] = []
        self._entries: list[Deferred[Any]] = []
        self._sent = 0
        self.answers: list[Answer] = []
        pool = HTTPConnectionPool(self.reactor, persistent=True)
        pool.retryAutomatically = False
        self._callers = pool
        self._agent = Agent(self.reactor, pool=pool, connectTimeout=1)
        in_reactor(lambda: self._start(domains, servers_per_service))
        self.run(self._wait_until_served())

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in the reactor and return its result."""
        return in_reactor(lambda: Deferred.fromCoroutine(coroutine))

    def _start(self, domains: str, servers_per_service: int) -> None:
        store = f"{loopback_ip(AddressGroup.STORE, 1)}:8384"
        operators = f"{loopback_ip(AddressGroup.STORE, 1)}:8385"
        for address, allow_reserved in ((store, False), (operators, True)):
            stand_in = StandInStore(
                items=self.items, reactor=self.reactor, allow_reserved=allow_reserved
            )
            self._listen(address, stand_in.site())
        self.items.change(Change(puts=(configuration(1),)))
        addresses = []
        for number in range(2 * servers_per_service):
            ip = loopback_ip(AddressGroup.SERVERS, number + 1)
            addresses.append(f"{ip}:{SERVER_PORT}")
            self._start_server(number, addresses[-1], operators)
        for index, (name, domain) in enumerate(zip(self.names, domains, strict=True)):
            network = self.networks[name] = HostNetwork(reactor=self.reactor)
            for address in addresses:
                network.add_link(address, FIRST_LINK_PORT + index)
            text = settings_text(
                name=name, ip=self._ip(name), domain=domain, store=store
            )
            settings = decode_host_settings(text, peer="test")
            host = self.hosts[name] = EntryHost(settings=settings, reactor=network)
            host.start()

    def _start_server(self, number: int, address: str, operators: str) -> None:
        spec = ServerSpec(
            id=f"s{number}",
            service=(KEYED, UNKEYED)[number % 2],
            address=address,
            domain="abc"[number // 2 % 3],
            slots=6,
            work_s=WORK_S,
            born_ms=1,
        )
        server = StandInServer(spec=spec, reactor=self.reactor, rng=Random(number))
        server.on_run = self.runs.append
        server.on_arrival = self.arrivals.append
        self.servers[spec.id] = server
        self._listen(address, server.site())
        client = PlatformStore(reactor=self.reactor, address=operators)
        entry = Deferred.fromCoroutine(server.maintain_entry(client))
        entry.addErrback(lambda _: None)
        self._entries.append(entry)

    def _listen(self, address: str, site: Any) -> None:
        ip, _, port = address.rpartition(":")
        self._ports.append(self.reactor.listenTCP(int(port), site, interface=ip))

    def _ip(self, name: str) -> str:
        return loopback_ip(AddressGroup.HOSTS, self.names.index(name) + 1)

    async def _wait_until_served(self) -> None:
        end_s = self.reactor.seconds() + READY_TIMEOUT_S
        while self.reactor.seconds() < end_s:
            answers = [
                await self.send(name, read=read)
                for name in self.names
                for read in (True, False)
            ]
            if all(answer.is_served for answer in answers) and self._all_listed():
                return
            await self.wait(POLL_INTERVAL_S)
        raise AssertionError(f"not served within {READY_TIMEOUT_S} s: {answers}")

    def _all_listed(self) -> bool:
        """Whether all hosts know each other, and what they show each other."""
        return all(
            len(host._coordinator.peers.membership.listed) == len(self.hosts)
            and host._coordinator.tunnel_secret.value
            for host in self.hosts.values()
        )

    async def wait(self, duration_s: float) -> None:
        """Wait."""
        await deferLater(self.reactor, duration_s)

    def leads(self, name: str) -> bool:
        """Whether a host leads."""
        return self.hosts[name]._coordinator.leadership.leads

    def lose_answers(self, share: float) -> None:
        """Let servers lose this share of their answers from now on."""
        for server in self.servers.values():
            server.lost_share = share

    def restore_some(self, name: str, servers: Iterable[str]) -> None:
        """Restore the links of a host to some servers."""
        for server in servers:
            self.networks[name].links[self.servers[server].spec.address].restore()

    def cut(self, names: Iterable[str], form: LinkCut) -> None:
        """Cut all links of hosts to servers."""
        for name in names:
            for link in self.networks[name].links.values():
                link.cut(form)

    def restore(self, names: Iterable[str]) -> None:
        """Restore all links of hosts to servers."""
        for name in names:
            for link in self.networks[name].links.values():
                link.restore()

    async def send(self, name: str, *, read: bool, body_bytes: int = 20) -> Answer:
        """Send a read of a key, or a request that must not run twice; try it once."""
        body = None if read else BytesBody(body=b"x" * body_bytes)
        return await self._send(
            name,
            kind="read" if read else "post",
            host_name=LOOK_UPS if read else POSTINGS,
            body=body,
        )

    async def send_added(self, name: str, path: str) -> Answer:
        """Send a request that only an added rule matches."""
        return await self._send(name, kind="rule", host_name=ADDED, path=path)

    async def _send(
        self,
        name: str,
        *,
        kind: str,
        host_name: str,
        path: str = "/",
        body: BytesBody | None = None,
    ) -> Answer:
        self._sent += 1
        request_id = f"{kind}-{self._sent}"
        headers = Headers(
            {
                "Host": [host_name],
                "Attempt-Id": [request_id],
                "Deadline-Ms": [str(DEADLINE_MS)],
            }
        )
        if kind == "read":
            headers.setRawHeaders("Shard-Key", [str(self._sent * 4001 % 65_536)])
        url = f"http://{self._ip(name)}:{CALLERS_PORT}{path}".encode()
        answer = Answer(
            id=request_id, host=name, status=0, sent_s=self.reactor.seconds()
        )
        try:
            response = await self._agent.request(
                b"GET" if body is None else b"POST", url, headers, body
            )
            content = await readBody(response)
        except Exception as error:
            answer.title = type(error).__name__
        else:
            answer.status = response.code
            if response.headers.getRawHeaders("content-type") == [PROBLEM_TYPE]:
                answer.title = str(json.loads(content)["title"])
        answer.took_s = self.reactor.seconds() - answer.sent_s
        return answer

    async def send_all(
        self, *, duration_s: float, per_s: float, names: Sequence[str] = ()
    ) -> list[Answer]:
        """Send requests to hosts at ``per_s`` each, half of them reads."""
        pending = []
        for number in range(round(duration_s * per_s)):
            for name in names or self.names:
                coroutine = self.send(name, read=number % 2 == 0)
                pending.append(Deferred.fromCoroutine(coroutine))
            await self.wait(1 / per_s)
        answers = list(await gatherResults(pending))
        self.answers += answers
        return answers

    def stop(self) -> None:
        """Stop everything."""
        in_reactor(self._stop)
        in_reactor(self._callers.closeCachedConnections)

    def _stop(self) -> None:
        for host in self.hosts.values():
            host.end()
            for pool in host.relay.connections.values():
                pool.close()
        for network in self.networks.values():
            network.stop()
        for server in self.servers.values():
            server.withdraw()
        for entry in self._entries:
            entry.cancel()
        for port in self._ports:
            port.stopListening()
