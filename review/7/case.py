"""A client sends a header that the configuration allows, and the front crashes: the requests that
other clients have under way on kept connections are lost."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))

from fleet import CLIENT_PORT, CLOSED, CannotRun, Client, Engine, Fleet  # noqa: E402
from fleet import KeptConnection, Message, Operator, Platform  # noqa: E402
from fleet import configuration, run, status_of, wait_until_ready  # noqa: E402

MAX_HEADER_BYTES = 131072
TURNS = 9
KEPT_PER_FRONT = 2
CONTACT_S = 3.0


class Others:
    """Clients with kept connections to one front; count the requests that an engine has run and
    that the front, which was in touch, has closed without an answer."""

    def __init__(self, front, client, engines, record):
        self.front = front
        self.client = client
        self.engines = engines
        self.record = record
        self.started = time.monotonic()
        self.lost = 0
        self.sent = 0

    def has_run(self, request_id):
        return any(request_id in engine.runs for engine in self.engines)

    async def run(self, number):
        connection = KeptConnection(f"{self.front.ip}:{CLIENT_PORT}")
        while True:
            self.sent += 1
            request_id = f"b{self.front.name[-1]}{number}{self.sent:013d}"
            answer = await self.client.live_kept(connection, request_id)
            if isinstance(answer, Message):
                continue
            self.record.write(f"{self.front.name}: {request_id} on a kept connection: {answer}")
            in_touch = time.monotonic() - self.started >= CONTACT_S
            if answer == CLOSED and in_touch and self.has_run(request_id):
                self.lost += 1
            await asyncio.sleep(0.1)


async def main(record, trouble):
    fleet = Fleet()
    try:
        return await play(fleet, record, trouble)
    finally:
        fleet.stop()


async def play(fleet, record, trouble):
    platform = Platform(fleet.platform_address)
    engines = [
        Engine(f"i-{n}", f"{fleet.network}.5.{n + 1}:8080", record, work=0.4) for n in range(4)
    ]
    for engine in engines:
        await engine.start()
    platform.instances = [engine.instance() for engine in engines]
    await platform.start()
    fleet.start()
    operator = Operator(fleet, record)
    limits = {"max_header_bytes": MAX_HEADER_BYTES}
    if await operator.replace(0, configuration(1, limits)) != 200:
        raise CannotRun("the configuration was not taken")
    await wait_until_ready(fleet.fronts)
    client = Client(fleet, record)
    others = [Others(front, client, engines, record) for front in fleet.fronts]
    tasks = [asyncio.create_task(o.run(n)) for o in others for n in range(KEPT_PER_FRONT)]
    await asyncio.sleep(5)  # All machines are in touch for `contact_ms`.
    ends = {front.name: 0 for front in fleet.fronts}
    size = 70000 if trouble else 60000
    parts = ",".join(f"{n:08x}:800" for n in range(size // 13))
    for turn in range(TURNS):
        front = fleet.fronts[turn % len(fleet.fronts)]
        request_id = f"a{turn:015d}"
        extra = {"X-Shedshed-Prompt-Prefix": parts}
        answer = await client.live(front, request_id, extra)
        record.write(
            f"{front.name}: {request_id}, a field of {len(parts)} bytes: {status_of(answer)}"
        )
        await asyncio.sleep(0.3)
        if not front.alive():
            ends[front.name] += 1
            record.write(f"{front.name} ended by itself with {front.process.returncode}")
            front.start()
            others[turn % len(others)].started = time.monotonic()
            await wait_until_ready([front])
        await asyncio.sleep(1)
    for task in tasks:
        task.cancel()
    lost = sum(o.lost for o in others)
    sent = sum(o.sent for o in others)
    record.write(f"processes ended by themselves: {ends}")
    record.write(f"requests on kept connections: {sent}, passed on to an engine and cut: {lost}")
    return lost > 3


if __name__ == "__main__":
    sys.exit(run(main, os.path.dirname(os.path.abspath(__file__))))
