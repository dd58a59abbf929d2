"""``gentianwharf keys``, ``servers``, ``hosts`` and ``domains``."""

from typing import Any

from ._client import AdminClient
from ._exit_codes import ExitCode
from ._terminal import Terminal


async def key_owner(
    client: AdminClient, shown: Terminal, *, service: str, key: str
) -> ExitCode:
    """Print who owns a key."""
    _print_owner(await client.get("keys", service, "owner", key=key), shown)
    return ExitCode.DONE


async def move_key(
    client: AdminClient, shown: Terminal, *, service: str, key: str, server: str
) -> ExitCode:
    """Begin to move a key's shard."""
    body = {"key": key, "server": server}
    _print_owner(await client.send("POST", "keys", service, "move", body=body), shown)
    return ExitCode.DONE


async def pin_key(
    client: AdminClient,
    shown: Terminal,
    *,
    service: str,
    key: str,
    server: str | None,
) -> ExitCode:
    """Give a key an entry of its own, or take it away."""
    body = {"key": key, "server": server}
    _print_owner(await client.send("POST", "keys", service, "pin", body=body), shown)
    return ExitCode.DONE


def _print_owner(owner: dict[str, Any], shown: Terminal) -> None:
    if shown.as_json:
        shown.json(owner)
        return
    place = "an entry of its own" if owner["single"] else f"shard {owner['shard']}"
    shown.line(f"{owner['service']} {owner['key']}: {place}")
    shown.line(f"    owner: {owner['server'] or 'none'}, site {owner['site'] or '-'}")
    shown.line(f"    token {owner['token']}, table version {owner['table_version']}")
    if owner["moving_to"] is not None:
        shown.line(f"    moving to {owner['moving_to']}: {owner['step']}")


async def list_servers(
    client: AdminClient, shown: Terminal, *, service: str | None
) -> ExitCode:
    """Print the backend servers."""
    servers = [
        one
        for one in await client.get("servers")
        if service is None or one["service"] == service
    ]
    if shown.as_json:
        shown.json(servers)
        return ExitCode.DONE
    columns = ["id", "service", "domain", "site", "address", "state", "shards"]
    shown.table(
        [*columns, "busy", "slots", "load"],
        [
            [one[name] for name in columns]
            + [one["slots_busy"], one["slots"], one["reported_load"]]
            for one in servers
        ],
    )
    return ExitCode.DONE


async def drain_server(
    client: AdminClient, shown: Terminal, *, server: str
) -> ExitCode:
    """Give a server no new work and move its shards away."""
    status = await client.send("POST", "servers", server, "drain", body={})
    if shown.as_json:
        shown.json(status)
        return ExitCode.DONE
    shown.line(f"{server} gets no new work; {status['shards']} shards have to move")
    return ExitCode.DONE


async def list_hosts(client: AdminClient, shown: Terminal) -> ExitCode:
    """Print the platform's host list."""
    hosts = await client.get("hosts")
    if shown.as_json:
        shown.json(hosts)
        return ExitCode.DONE
    columns = ["id", "domain", "address", "leaving"]
    shown.table(columns, [[one[name] for name in columns] for one in hosts])
    return ExitCode.DONE


async def declare_lost(
    client: AdminClient, shown: Terminal, *, domain: str, without_asking: bool
) -> ExitCode:
    """Say what declaring a failure domain lost risks, ask, and do it."""
    loss = await client.get("domains", domain, "declare-lost")
    heard = loss["heard_ago_s"]
    shown.note(
        f"Failure domain {domain}: "
        + (f"last heard {heard:.0f} s ago" if heard is not None else "never heard")
    )
    for service, shards in loss["shards"].items():
        shown.note(f"    {service}: {shards} shards would get new owners")
    shown.note("Risks:")
    for risk in loss["risks"]:
        shown.note(f"    {risk}")
    question = f"Type {domain} to declare it lost:"
    if not without_asking and not shown.confirm(question, domain):
        shown.problem("nothing was done")
        return ExitCode.REFUSED
    await client.send("POST", "domains", domain, "declare-lost", body={})
    shown.note(f"{domain} is declared lost")
    return ExitCode.DONE
