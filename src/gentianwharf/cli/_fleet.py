"""``gentianwharf keys``, ``servers``, ``hosts`` and ``domains``."""

from typing import Any

from ._client import AdminClient
from ._exit_codes import ExitCode
from ._terminal import Terminal


async def key_owner(
    client: AdminClient, terminal: Terminal, *, service: str, key: str
) -> ExitCode:
    """Print the owner of a key."""
    _print_owner(await client.get("keys", service, "owner", key=key), terminal)
    return ExitCode.DONE


async def move_key(
    client: AdminClient, terminal: Terminal, *, service: str, key: str, server: str
) -> ExitCode:
    """Start the move of a key's shard to a server."""
    body = {"key": key, "server": server}
    _print_owner(
        await client.send("POST", "keys", service, "move", body=body), terminal
    )
    return ExitCode.DONE


async def pin_key(
    client: AdminClient,
    terminal: Terminal,
    *,
    service: str,
    key: str,
    server: str | None,
) -> ExitCode:
    """Pin a key to a server, or remove its pin when ``server`` is None."""
    body = {"key": key, "server": server}
    _print_owner(await client.send("POST", "keys", service, "pin", body=body), terminal)
    return ExitCode.DONE


def _print_owner(owner: dict[str, Any], terminal: Terminal) -> None:
    if terminal.as_json:
        terminal.json(owner)
        return
    entry = "an entry of its own" if owner["single"] else f"shard {owner['shard']}"
    terminal.line(f"{owner['service']} {owner['key']}: {entry}")
    terminal.line(
        f"    owner: {owner['server'] or 'none'}, site {owner['site'] or '-'}"
    )
    terminal.line(f"    token {owner['token']}, table version {owner['table_version']}")
    if owner["moving_to"] is not None:
        terminal.line(f"    moving to {owner['moving_to']}: {owner['step']}")


async def list_servers(
    client: AdminClient, terminal: Terminal, *, service: str | None
) -> ExitCode:
    """Print the backend servers."""
    servers = [
        server
        for server in await client.get("servers")
        if service is None or server["service"] == service
    ]
    if terminal.as_json:
        terminal.json(servers)
        return ExitCode.DONE
    columns = ["id", "service", "domain", "site", "address", "state", "shards"]
    terminal.table(
        [*columns, "busy", "slots", "load"],
        [
            [server[name] for name in columns]
            + [server["slots_busy"], server["slots"], server["reported_load"]]
            for server in servers
        ],
    )
    return ExitCode.DONE


async def drain_server(
    client: AdminClient, terminal: Terminal, *, server: str
) -> ExitCode:
    """Stop sending new requests to a server and move its shards to others."""
    status = await client.send("POST", "servers", server, "drain", body={})
    if terminal.as_json:
        terminal.json(status)
        return ExitCode.DONE
    terminal.line(f"{server} gets no new work; {status['shards']} shards have to move")
    return ExitCode.DONE


async def list_hosts(client: AdminClient, terminal: Terminal) -> ExitCode:
    """Print the hosts that the platform lists."""
    hosts = await client.get("hosts")
    if terminal.as_json:
        terminal.json(hosts)
        return ExitCode.DONE
    columns = ["id", "domain", "address", "leaving"]
    terminal.table(columns, [[host[name] for name in columns] for host in hosts])
    return ExitCode.DONE


async def declare_lost(
    client: AdminClient, terminal: Terminal, *, domain: str, assume_yes: bool
) -> ExitCode:
    """Print the risks of declaring a failure domain lost, confirm, and declare it."""
    loss = await client.get("domains", domain, "declare-lost")
    heard_ago_s = loss["heard_ago_s"]
    terminal.note(
        f"Failure domain {domain}: "
        + (
            f"last heard {heard_ago_s:.0f} s ago"
            if heard_ago_s is not None
            else "never heard"
        )
    )
    for service, shards in loss["shards"].items():
        terminal.note(f"    {service}: {shards} shards would get new owners")
    terminal.note("Risks:")
    for risk in loss["risks"]:
        terminal.note(f"    {risk}")
    question = f"Type {domain} to declare it lost:"
    if not assume_yes and not terminal.confirm(question, domain):
        terminal.problem("nothing was done")
        return ExitCode.REFUSED
    await client.send("POST", "domains", domain, "declare-lost", body={})
    terminal.note(f"{domain} is declared lost")
    return ExitCode.DONE
