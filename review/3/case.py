"""Accepted batch jobs that are sent again after their route has moved to another service."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

from case import BATCH_PATH, BROKEN, HELD, Batch, CouldNotRun, configuration, route  # noqa: E402
from case import run_case  # noqa: E402
from fleet import BOUNDS  # noqa: E402

BATCHES = 12
ENGINES = {"svc-one": 4, "svc-two": 4}


def batch_route(service):
    return {"batch": route("batch", BATCH_PATH, service=service)}


async def play(run, trouble):
    first = configuration(5, batch_route("svc-one"), list(ENGINES))
    await run.begin(ENGINES, first)

    batches = [Batch("b", 4) for _ in range(BATCHES)]
    await asyncio.gather(*(run.submit_until_taken(batch) for batch in batches))

    if trouble:
        change = {"version": 7, "upsert": {"routes": batch_route("svc-two")}}
        if await run.configure("/v1/config/update", 5, change) != 200:
            raise CouldNotRun("the change was not taken")
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 0.5)

    # Another client of the tenant sends each once more, to another node; after no answer or a 5xx
    # it does so again.
    statuses = []
    for number, batch in enumerate(batches):
        status = None
        for attempt in range(4):
            front = run.fleet.fronts[(number + attempt + 1) % len(run.fleet.fronts)]
            status = await run.submit(batch, front)
            if status is not None and status < 500 and status != 429:
                break
            await asyncio.sleep(0.3)
        statuses.append(status)
    for batch in batches:
        await run.follow(batch, 15)
    unfinished = [batch.id for batch in batches if batch.unlisted()]
    refused = [status for status in statuses if status is not None and 300 <= status < 500]
    refused = [status for status in refused if status not in (408, 421, 429)]
    run.record.write(
        f"repeats answered {statuses}; {len(refused)} of {run.calls} requests of clients ended "
        f"with a 3xx or 4xx; batch jobs not finished: {unfinished}"
    )
    if statuses.count(202) + len(refused) < BATCHES:
        raise CouldNotRun("some repeats got no clear answer")
    return BROKEN if len(refused) > 5 + run.calls / 500 else HELD


if __name__ == "__main__":
    run_case(play, FOLDER)
