"""All links of a deployment, and the faults on them."""

from collections.abc import Sequence
from typing import Any, final

from gentianwharf.platform.standin import INTERNAL_PORT

from ._answer_faults import AnswerFaults
from ._disruptions import Disruptions, link_of, server_links_of
from ._own_links import OwnLinks
from ._proxy import LinkFault, Proxy
from ._server_link import LinkCut

SERVER_PORT, PROXY_PORT, STORE_PORT = 8400, 8300, 8384


@final
class Links:
    """The proxies before servers and on hosts' ways to the store, and own links."""

    def __init__(self, *, reactor: Any, net: int, disruptions: Disruptions) -> None:
        self.proxies: dict[str, Proxy] = {}
        self._reactor = reactor
        self._net = net
        self._disruptions = disruptions
        self._hosts: Sequence[str] = ()
        self._to_servers = self._to_hosts = OwnLinks(
            reactor=reactor, hosts=(), addresses={}
        )
        self._cut_off: set[str] = set()

    def open(
        self,
        *,
        hosts: Sequence[str],
        servers: Sequence[str],
        answer_faults: AnswerFaults | None,
        to_servers: bool,
        to_hosts: bool,
    ) -> None:
        """Open the proxies, and hosts' own links to servers and to each other."""
        self._hosts = hosts
        for name in servers:
            target = f"{self.ip(name)}:{SERVER_PORT}"
            self._add_proxy(name, target, answer_faults)
        for name in hosts:
            self._add_proxy(name, self.store_address(name))
        if to_servers:
            self._to_servers = OwnLinks(
                reactor=self._reactor,
                hosts=hosts,
                addresses={name: self.proxy_address(name) for name in servers},
            )
        if to_hosts:
            self._to_hosts = OwnLinks(
                reactor=self._reactor,
                hosts=hosts,
                addresses={name: f"{self.ip(name)}:{INTERNAL_PORT}" for name in hosts},
            )

    def _add_proxy(
        self, name: str, target: str, answer_faults: AnswerFaults | None = None
    ) -> None:
        self.proxies[name] = Proxy(
            reactor=self._reactor,
            listens_on=self.proxy_address(name),
            target=target,
            answer_faults=answer_faults,
        )

    @property
    def store_ip(self) -> str:
        """The IP address of the store."""
        return f"127.{self._net}.0.1"

    def store_address(self, host: str) -> str:
        """Return where the store serves one host alone."""
        return f"{self.ip(host)}:{STORE_PORT}"

    def ip(self, name: str) -> str:
        """Return the IP address of a host or a server."""
        kind, _, number = name.partition("-")
        return f"127.{self._net}.{1 if kind == 'host' else 2}.{int(number) + 1}"

    def proxy_address(self, name: str) -> str:
        """Return where the proxy of a host or a server listens."""
        return f"{self.ip(name)}:{PROXY_PORT}"

    def own_ports(self, host: str) -> dict[str, int]:
        """Return the port of each own link of a host, by the address that it is for."""
        return self._to_servers.ports(host) | self._to_hosts.ports(host)

    def reset(self, server: str) -> None:
        """Reset all connections to a server."""
        self.proxies[server].reset()
        self._to_servers.reset(server)

    def inject(self, name: str, fault: LinkFault) -> None:
        """Inject a fault into the link through a program's proxy."""
        self._disruptions.begin(link_of(name))
        self.proxies[name].begin(fault)
        if fault is LinkFault.RESET:
            self._disruptions.end(link_of(name))

    def clear(self, name: str) -> None:
        """Clear the fault of the link through a program's proxy."""
        self.proxies[name].end()
        self._disruptions.end(link_of(name))

    def cut_from_servers(self, hosts: Sequence[str], form: LinkCut) -> None:
        """Cut the links of hosts to all servers."""
        for host in hosts:
            self._disruptions.begin(server_links_of(host))
            self._to_servers.cut(host, form)

    def restore_to_servers(self) -> None:
        """Restore the links of all hosts to all servers."""
        self._to_servers.restore()
        for host in self._hosts:
            self._disruptions.end(server_links_of(host))

    def cut_off(
        self,
        host: str,
        fault: LinkFault | None = LinkFault.SILENCE,
        *,
        from_hosts: bool = True,
    ) -> None:
        """Cut a host off from the store and all other hosts, but not from servers.

        Without a ``fault`` it reaches the store, with ``from_hosts=False`` the hosts.
        """
        if fault is not None:
            self._cut_off.add(host)
            self.inject(host, fault)
        if from_hosts:
            self._to_hosts.cut(host, LinkCut.HANG)

    def end_cuts_off(self) -> None:
        """Restore the ways of such hosts to the store and to each other."""
        while self._cut_off:
            self.clear(self._cut_off.pop())
        self._to_hosts.restore()

    def stop(self) -> None:
        """Close everything."""
        for proxy in self.proxies.values():
            proxy.stop()
        self._to_servers.stop()
        self._to_hosts.stop()
