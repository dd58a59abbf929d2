"""HTTP/1.1 over asyncio streams, as little of it as the stand-ins need."""

import asyncio


class Message:
    """The start line, the headers and the body of a request or response."""

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        """Return the first value of a header."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


async def read_head(reader):
    """Return a message without its body; raises ``IncompleteReadError`` at the end."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, message):
    """Read the body that the headers announce into ``message``."""
    if "chunked" in (message.get("transfer-encoding") or "").lower():
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            parts.append(part[:-2])
        message.body = b"".join(parts)
    else:
        length = int(message.get("content-length") or 0)
        message.body = await reader.readexactly(length)
    return message


async def read_message(reader):
    """Return a message with its body."""
    return await read_body(reader, await read_head(reader))


def encode(start, headers, body=b""):
    """Return a message with a Content-Length as bytes."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def close(writer, *, reset=False):
    """Close a connection, with a reset if asked for."""
    if reset and writer.transport is not None:
        writer.transport.abort()
        return
    writer.close()
    try:
        await writer.wait_closed()
    except (OSError, asyncio.CancelledError):
        pass
