"""A tenant's quota around a kill of two store processes right after the tenant's burst."""

import asyncio
import collections
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

from case import BROKEN, HELD, TENANT, configuration, route, run_case  # noqa: E402

LIVE_PATH = "/live/"
# The figures of the example on the protocol page, and the bounds of both small sheets.
RATE_PER_S, BURST = 76, 76
WINDOW_S, OVERRUN, SLACK = 5, 0.1, 20
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERRUN) + SLACK
DOWN_S = 1.0
ASKED_PER_S = 4 * RATE_PER_S
ASKED_FOR_S = 9
KILLED_STORES = 2


class Client:
    """Sends each request on a connection of its own, to the fronts in turn."""

    def __init__(self, run):
        self.run = run
        self.sent = 0
        self.answers = collections.Counter()

    async def request(self):
        self.sent += 1
        headers = {
            "X-Shedshed-Request-Id": f"q{self.sent:06d}",
            "X-Shedshed-Model": "m",
            "X-Shedshed-Token-Count": "10,1",
            "X-Shedshed-Deadline-Ms": "4000",
        }
        front = self.run.fleet.fronts[self.sent % len(self.run.fleet.fronts)]
        target = f"{LIVE_PATH}{self.sent}"
        answer = await self.run.client_call(front, "POST", target, headers, b"x")
        self.answers["none" if answer is None else answer.status] += 1


async def kill_and_start(run, processes):
    for process in processes:
        process.kill()
        run.record.write(f"killed: {process.name}")
    await asyncio.sleep(DOWN_S)
    for process in processes:
        process.start()
        run.record.write(f"started again: {process.name}")


def most_in_a_window(times):
    """The largest number of requests that ran in a span of the window's length, and its start."""
    most, start, first = 0, 0.0, 0
    for index, moment in enumerate(times):
        while times[first] < moment - WINDOW_S:
            first += 1
        if index - first + 1 > most:
            most, start = index - first + 1, times[first]
    return most, start


async def play(run, trouble):
    routes = {
        "live": route("streaming", LIVE_PATH, service="svc", resumable=False, max_attempts=1)
    }
    await run.begin({"svc": 18}, configuration(5, routes, ["svc"]))
    client = Client(run)
    loop = asyncio.get_running_loop()
    begun = loop.time()
    await asyncio.gather(*(client.request() for _ in range(BURST)))
    run.record.write(f"client: {BURST} requests at once, answers {dict(client.answers)}")
    killing = None
    if trouble:
        killing = asyncio.create_task(kill_and_start(run, run.fleet.stores[:KILLED_STORES]))
    tasks = []
    end = loop.time() + ASKED_FOR_S
    while loop.time() < end:
        tasks.append(asyncio.create_task(client.request()))
        await asyncio.sleep(1 / ASKED_PER_S)
    await asyncio.gather(*tasks)
    if killing is not None:
        await killing
    times = sorted(entry[0] for entry in run.engines.runs)
    most, start = most_in_a_window(times)
    by_second = collections.Counter(int(moment - begun) for moment in times)
    run.record.write(f"client: answers to all {client.sent} requests {dict(client.answers)}")
    run.record.write(f"requests of {TENANT} that engines ran, by second: {sorted(by_second.items())}")
    run.record.write(
        f"most in {WINDOW_S} s: {most}, from second {start - begun:.2f}; allowed: {ALLOWED:.1f}"
    )
    return BROKEN if most > ALLOWED else HELD


if __name__ == "__main__":
    run_case(play, FOLDER)
