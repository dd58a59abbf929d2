"""``gentianwharf quarantine``: requests that are refused since servers end under them.

The requests stand in the platform's store; no host is asked.
"""

from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import react

from gentianwharf.errors import ConflictError, GentianwharfError, InputError
from gentianwharf.platform import PlatformStore
from gentianwharf.quarantine import (
    QUARANTINE_PREFIX,
    StoredRequest,
    decode_record,
    encode_released,
)
from gentianwharf.store import Change, Item, Put, Store

from ._exit_codes import ExitCode, exit_code_of
from ._terminal import Terminal

Command = Callable[[Store, Terminal], Awaitable[ExitCode]]


def run(address: str, terminal: Terminal, command: Command) -> int:
    """Run a command with the store at ``address``; return its exit code."""
    exit_codes = [ExitCode.FAULT]

    async def perform(reactor: Any) -> None:
        store = PlatformStore(reactor=reactor, address=address)
        try:
            exit_codes[0] = await command(store, terminal)
        except GentianwharfError as error:
            terminal.problem(str(error))
            exit_codes[0] = exit_code_of(error)

    def start(reactor: Any) -> Deferred[None]:
        return ensureDeferred(perform(reactor))

    if not _is_address(address):
        terminal.problem(f"--store: expected IP:PORT, got {address!r}")
        return ExitCode.USAGE
    try:
        react(start, ())
    except SystemExit as exit_request:
        if exit_request.code not in (0, None):
            return ExitCode.FAULT
    return exit_codes[0]


def _is_address(address: str) -> bool:
    ip, _, port = address.rpartition(":")
    return bool(ip) and port.isdigit()


async def list_requests(store: Store, terminal: Terminal) -> ExitCode:
    """Print the stored requests."""
    page = await store.items(QUARANTINE_PREFIX)
    found = {name_of(item): _decode(item) for item in page.items}
    if terminal.as_json:
        terminal.json(
            {name: msgspec.to_builtins(stored) for name, stored in found.items()}
        )
        return ExitCode.DONE
    if not found:
        terminal.line("no request is refused")
    for name, stored in found.items():
        terminal.line(f"{name}  {_standing(stored)}")
        terminal.table(
            ["  ended (UTC)", "server", "service", "evidence", "host", "request"],
            [
                [
                    f"  {_time(crash.ended_unix_ms)}",
                    crash.incarnation,
                    crash.service,
                    str(crash.evidence),
                    crash.host,
                    crash.request_id,
                ]
                for crash in stored.crashes
            ],
        )
    return ExitCode.DONE


async def release(store: Store, terminal: Terminal, *, name: str) -> ExitCode:
    """Clear a stored request, so that hosts forget what they know about it."""
    key = QUARANTINE_PREFIX + name
    item = await store.item(key)
    if item is None:
        raise InputError(
            "no such request is stored; expected a name that `quarantine list` prints",
            step="release",
            peer=name,
        )
    try:
        put = Put(key=key, value=encode_released(item.value))
        await store.change(Change(expected={key: item.revision}, puts=(put,)))
    except ValueError as error:
        raise InputError(
            f"can't be decoded: {error}; it may be of another release",
            step="release",
            peer=name,
        ) from error
    except ConflictError as error:
        raise ConflictError(
            "the request was sent once more meanwhile; look at the list again",
            step="release",
            peer=name,
        ) from error
    terminal.line(f"{name} is let through; hosts follow within a second")
    return ExitCode.DONE


def _standing(stored: StoredRequest) -> str:
    if stored.is_released:
        return "let through"
    return "refused" if stored.is_convicted else "one at a time"


def name_of(item: Item) -> str:
    """Return the name of a stored request."""
    return item.key.removeprefix(QUARANTINE_PREFIX)


def _decode(item: Item) -> StoredRequest:
    try:
        return decode_record(name_of(item), item.value)[1]
    except ValueError as error:
        raise InputError(
            f"can't be decoded: {error}; it may be of another release",
            step="list",
            peer=item.key,
        ) from error


def _time(unix_ms: int) -> str:
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S")
