"""HTTP/1.1 over asyncio streams: what clients and stand-in engines of the cases need."""

import asyncio

MAX_HEAD_BYTES = 64 << 10
CONNECT_TIMEOUT_S = 1.0


class Message:
    """Head and body of a request or an answer. Header names are in lower case."""

    def __init__(self, first_line, headers):
        self.first_line = first_line
        self.headers = headers
        self.body = b""
        self.fields = []
        """All fields as (name in lower case, value), in their order, with those that come twice."""

    @property
    def status(self):
        return int(self.first_line.split()[1])

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)

    def values(self, name):
        return [value for known, value in self.fields if known == name.lower()]


async def read_head(reader):
    """The next head; None if the connection ends before it."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    message = Message(lines[0], {})
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            message.headers[name.strip().lower()] = value.strip()
            message.fields.append((name.strip().lower(), value.strip()))
    return message


async def read_body(reader, message):
    """Reads the body by the framing of the head."""
    if "chunked" in message.header("transfer-encoding").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            message.body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return
    length = int(message.header("content-length", "0"))
    message.body = await reader.readexactly(length) if length else b""


def request_text(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, target, headers, body=b"", timeout=6.0):
    """One call on a connection of its own; the answer, or None without a whole one."""
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES), CONNECT_TIMEOUT_S
        )
    except (asyncio.TimeoutError, OSError):
        return None

    async def exchange():
        writer.write(request_text(method, target, headers, body))
        await writer.drain()
        answer = await read_head(reader)
        if answer is not None:
            await read_body(reader, answer)
        return answer

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
        return None
    finally:
        writer.close()
