"""Tunnels of one host: those that it opens, and those that it accepts."""

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any, final

from gentianwharf.admission import GateAdmission
from gentianwharf.logs import log
from gentianwharf.platform import HostSettings
from gentianwharf.relay import (
    LinkMonitor,
    Reachability,
    ServerConnectionPool,
    ServerLinks,
    ServerNotice,
)
from gentianwharf.topology import BackendServer
from gentianwharf.tunnels import (
    TUNNEL_PORT_OFFSET,
    SharedNotice,
    TunnelClient,
    TunnelHost,
    TunnelServer,
    tunnel_address,
)

from ._metrics import HostMetrics
from ._peer_messages import HostAddress


@final
class HostTunnels:
    """Opens tunnels while this host is cut off from the servers, and accepts others'.

    ``pools`` returns the connections to all listed servers. ``on_cut_off`` is called
    when this host has lost its links to them.
    """

    def __init__(
        self,
        *,
        settings: HostSettings,
        servers: Mapping[str, BackendServer],
        pools: Callable[[], Iterable[ServerConnectionPool]],
        secret: Callable[[], str],
        admission: GateAdmission,
        reactor: Any,
        rng: Random,
    ) -> None:
        self.on_cut_off: Callable[[], None] = lambda: None
        self._settings = settings
        self._admission = admission
        self._reactor = reactor
        self._port: Any = None
        self.reachability = Reachability(now_s=reactor.seconds)
        self.monitor = LinkMonitor(
            reachability=self.reachability,
            pools=pools,
            domain=settings.domain,
            reactor=reactor,
            rng=rng,
        )
        self.client = TunnelClient(
            name=settings.name,
            domain=settings.domain,
            secret=secret,
            reactor=reactor,
            rng=rng,
        )
        self.server = TunnelServer(
            server_by_id=servers.get,
            secret=secret,
            is_cut_off=self.is_cut_off,
            may_send=admission.may_send,
            reactor=reactor,
        )
        self.monitor.on_cut_off = self._note_cut_off
        self.monitor.on_restored = self.client.stop
        self.client.on_notice = self.server.on_notice = self._note_notice
        admission.on_notice_to_sender = self._share_notice
        self.links = ServerLinks(monitor=self.monitor, tunnels=self.client)

    def is_cut_off(self) -> bool:
        """Whether this host has lost its links to the servers."""
        return self.reachability.is_cut_off

    def start(self) -> None:
        """Accept tunnels, if the platform has left a port for them."""
        port = self._settings.first_internal_port + TUNNEL_PORT_OFFSET
        if port > self._settings.last_internal_port:
            log.warning(
                "no port for tunnels: expected two internal ports or more",
                extra={"step": "listen", "peer": f"{self._settings.ip}:{port}"},
            )
            return
        self._port = self._reactor.listenTCP(
            port, self.server, interface=self._settings.ip
        )

    def set_hosts(self, hosts: Iterable[HostAddress]) -> None:
        """Set the listed hosts."""
        addresses = ((host, tunnel_address(host.address)) for host in hosts)
        self.client.set_hosts(
            [
                TunnelHost(name=host.host, address=address, domain=host.domain)
                for host, address in addresses
                if address is not None
            ]
        )

    def stop(self) -> None:
        """Close all tunnels."""
        self.monitor.stop()
        self.client.stop()
        self.server.close()
        if self._port is not None:
            self._port.stopListening()

    def _note_notice(self, notice: SharedNotice) -> None:
        self._admission.note_shared_notice(
            notice.server_id, rest_s=notice.rest_s, is_leaving=notice.is_leaving
        )

    def _share_notice(self, server_id: str, notice: ServerNotice) -> None:
        """Tell the hosts whose tunnels this one carries what a server stated to it."""
        self.server.share(
            SharedNotice(
                server_id=server_id,
                rest_s=notice.rest_s,
                is_leaving=notice.is_leaving,
            )
        )

    def _note_cut_off(self) -> None:
        self.client.start()
        self.server.note_cut_off()
        self._admission.forget_failures()
        self.on_cut_off()

    def add_gauges(self, metrics: HostMetrics) -> None:
        """Add gauges of the tunnels in both directions."""
        for name, help_text, value in (
            (
                "tunnels_used",
                "Connections to backend servers through other hosts",
                lambda: self.client.open_tunnels,
            ),
            (
                "tunnel_hosts",
                "Hosts that accept tunnels of this host, while it is cut off",
                lambda: self.client.usable_peers,
            ),
            (
                "tunnels_opened",
                "Tunnels that this host has opened since the start",
                lambda: self.client.opened,
            ),
            (
                "tunnels_failed",
                "Tunnels that other hosts did not open, since the start",
                lambda: self.client.failed,
            ),
            (
                "tunnels_carried",
                "Tunnels that this host carries for others",
                lambda: self.server.open_tunnels,
            ),
            (
                "tunnels_accepted",
                "Tunnels that this host has accepted since the start",
                lambda: self.server.opened,
            ),
            (
                "tunnels_refused",
                "Tunnels that this host has refused since the start",
                lambda: self.server.refused.total(),
            ),
        ):
            metrics.add_gauge(name, help_text, value)
