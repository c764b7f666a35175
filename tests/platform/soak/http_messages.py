"""HTTP/1.1 messages over asyncio streams, just enough for stand-ins and clients on loopback."""

import asyncio

MAX_HEAD_BYTES = 64 << 10


class Message:
    """Head and body of a request or response. Header names are in lower case."""

    def __init__(self, first_line, fields):
        self.first_line = first_line
        self.fields = fields
        """All header fields as (name, value), in their order."""
        self.headers = dict(fields)
        self.body = b""

    @property
    def status(self):
        return int(self.first_line.split()[1])

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)

    def values(self, name):
        return [value for known, value in self.fields if known == name.lower()]


async def read_head(reader):
    """The next message without its body; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields.append((name.strip().lower(), value.strip()))
    return Message(lines[0], fields)


async def read_chunk(reader):
    """The next chunk of a chunked body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, message):
    """Reads the body by the message's framing."""
    if "chunked" in message.header("transfer-encoding"):
        while chunk := await read_chunk(reader):
            message.body += chunk
    elif message.header("content-length"):
        message.body = await reader.readexactly(int(message.header("content-length")))


def request_text(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def connect(address, timeout):
    host, port = address.rsplit(":", 1)
    return await asyncio.wait_for(
        asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES), timeout
    )


async def call(address, method, target, headers, body=b"", timeout=6):
    """One call on a connection of its own. Raises OSError, also if there is no whole answer."""

    async def exchange():
        writer.write(request_text(method, target, headers, body))
        await writer.drain()
        answer = await read_head(reader)
        if answer is None:
            raise ConnectionError("closed without an answer")
        await read_body(reader, answer)
        return answer

    try:
        reader, writer = await connect(address, 1)
    except (asyncio.TimeoutError, OSError) as failure:
        raise ConnectionError("no connection") from failure
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as failure:
        raise ConnectionError(f"no whole answer: {failure!r}") from failure
    finally:
        writer.close()
