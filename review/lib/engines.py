"""Sound stand-in engines and the platform's list of them, by the protocol page."""

import asyncio
import json

from fleet import ENGINE_PORT, ZONES
from http1 import MAX_HEAD_BYTES, read_body, read_head

EVENT_PAUSE_S = 0.015
EVENTS_AT_ONCE = 4
PAGE = 50


def short_data(request_id, number):
    return f"{request_id}-{number}"


class _EventData:
    make = staticmethod(short_data)


def set_event_data(make):
    """From now on the data of an event is `make(request_id, number)`."""
    _EventData.make = staticmethod(make)


def event_data(request_id, number):
    return _EventData.make(request_id, number)


def whole_text(request_id, events):
    """The text of a whole result: the data of all events, separated by line feeds."""
    return "\n".join(event_data(request_id, number) for number in range(1, events + 1))


class Engine:
    """Streams as many events as `X-Shedshed-Token-Count` gives as the most out."""

    def __init__(self, engines, engine_id, service, ip, zone, slots):
        self.engines = engines
        self.id = engine_id
        self.service = service
        self.address = f"{ip}:{ENGINE_PORT}"
        self.zone = zone
        self.slots = slots
        self.running = 0
        self.server = None

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=MAX_HEAD_BYTES)

    def listed(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "id": self.id,
        }

    async def _serve(self, reader, writer):
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                await self._handle(request, writer)
        except (OSError, asyncio.CancelledError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _handle(self, request, writer):
        target = request.first_line.split()[1]
        if target == "/health":
            return await self._answer(writer, 200, [f"X-Shedshed-Instance-Id: {self.id}"])
        if target == "/v1/report":
            return await self._report(writer)
        request_id = request.header("x-shedshed-request-id")
        echo = [f"X-Shedshed-Request-Id: {request_id}"]
        if request.header("x-shedshed-expect-instance", self.id) != self.id:
            return await self._answer(writer, 421, [*echo, "X-Shedshed-Not-Run: 1"])
        if self.running >= self.slots:
            return await self._answer(writer, 503, [*echo, "X-Shedshed-Not-Run: 1"])
        self.running += 1
        self.engines.ran(self, request_id, request)
        try:
            await self._stream(request, request_id, writer)
        finally:
            self.running -= 1

    async def _stream(self, request, request_id, writer):
        first = int(request.header("last-event-id", "0")) + 1
        count = int(request.header("x-shedshed-token-count", "0,4").split(",")[1])
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Shedshed-Request-Id: {request_id}\r\n"
                f"X-Shedshed-Response-Seal: {self.id}.{request_id}\r\n"
                "X-Shedshed-Weight-Versions: 1\r\n"
                "Keep-Alive: timeout=9\r\nTransfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(first, count + 1):
            if number % EVENTS_AT_ONCE == 1:
                await asyncio.sleep(EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {event_data(request_id, number)}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _report(self, writer):
        body = json.dumps(
            {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "seq": 0,
                "num_waiting": 0,
                "num_running": self.running,
                "kv_used": 0,
                "kv_total": 232000,
                "handles": 0,
            }
        ).encode()
        await self._answer(writer, 200, ["Content-Type: application/json"], body)

    @staticmethod
    async def _answer(writer, status, headers, body=b""):
        lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}", "Keep-Alive: timeout=9"]
        writer.write(("\r\n".join(lines + headers) + "\r\n\r\n").encode() + body)
        await writer.drain()


class Engines:
    """All engines, what they have run, and the list that the platform holds."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.engines = []
        self.runs = []
        """(time, engine, request id, header fields) of every request that ran."""

    async def add(self, service, count, slots=16):
        for _ in range(count):
            number = len(self.engines) + 1
            ip = f"{self.fleet.network}.200.{number}"
            zone = ZONES[number % len(ZONES)]
            engine = Engine(self, f"i-{number:04x}", service, ip, zone, slots)
            await engine.start()
            self.engines.append(engine)

    async def start_list(self):
        host, port = self.fleet.listing_address.rsplit(":", 1)
        await asyncio.start_server(self._serve_list, host, int(port))

    def ran(self, engine, request_id, request):
        now = asyncio.get_running_loop().time()
        tenants = request.values("x-shedshed-tenant")
        self.runs.append((now, engine, request_id, request.fields))
        self.record.write(f"run: {engine.service}/{engine.id} {request_id} tenant {tenants}")

    def running(self):
        return sum(engine.running for engine in self.engines)

    async def _serve_list(self, reader, writer):
        try:
            while (request := await read_head(reader)) is not None:
                target = request.first_line.split()[1]
                start = int(target.split("page_token=p-")[1]) if "page_token=p-" in target else 0
                page = self.engines[start : start + PAGE]
                more = start + PAGE < len(self.engines)
                body = json.dumps(
                    {
                        "instances": [engine.listed() for engine in page],
                        "next_token": f"p-{start + PAGE}" if more else None,
                    }
                ).encode()
                head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (OSError, asyncio.CancelledError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()
