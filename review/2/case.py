"""Batch jobs on a route that has got a first part with weight 0 and no engines."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

from case import BATCH_PATH, BROKEN, HELD, Batch, CouldNotRun, configuration, route  # noqa: E402
from case import run_case  # noqa: E402
from fleet import BOUNDS  # noqa: E402

LIVE_PATH = "/live/"
MAX_WAIT_S = 40  # Of the batch route.
CALM_S = 5  # The rule looks at the last five seconds.
ENGINES = {"svc-now": 4}
SLOTS = 16


def routes(**services):
    return {
        "batch": route("batch", BATCH_PATH, max_wait_s=MAX_WAIT_S, **services),
        "live": route("streaming", LIVE_PATH, **services),
    }


async def play(run, trouble):
    first = configuration(5, routes(service="svc-now"), ["svc-next", "svc-now"])
    await run.begin(ENGINES, first)

    before = Batch("b1", 8)
    await run.submit_until_taken(before)
    if not await run.follow(before, 30):
        raise CouldNotRun("the batch job before the change did not finish")

    if trouble:
        split = [{"service": "svc-next", "weight": 0}, {"service": "svc-now", "weight": 100}]
        change = {"version": 7, "upsert": {"routes": routes(traffic_split=split)}}
        if await run.configure("/v1/config/update", 5, change) != 200:
            raise CouldNotRun("the change was not taken")
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 3)

    live = [await run.live_request(LIVE_PATH, f"live{number}") for number in range(3)]
    if live != [200, 200, 200]:
        raise CouldNotRun("live requests are not served after the change")
    after = Batch("b2", 8)
    await run.submit_until_taken(after)
    # No other work comes. `finish_s` is counted from `max_wait_s` only, long after the due time.
    if await run.follow(after, MAX_WAIT_S + BOUNDS["finish_s"]):
        return HELD

    loop_now = asyncio.get_running_loop().time()
    ran = [entry for entry in run.engines.runs if entry[2] in after.items]
    recent = [entry for entry in run.engines.runs if loop_now - entry[0] < CALM_S]
    run.record.write(
        f"judged {time.monotonic() - after.accepted_at:.1f} s after the 202: "
        f"{len(after.unlisted())} of {len(after.items)} items are listed neither as completed nor "
        f"as dead_letter; engines have run {len(ran)} items of the batch job; places taken: "
        f"{run.engines.running()} of {SLOTS * ENGINES['svc-now']}; requests that began in the "
        f"last {CALM_S} s: {len(recent)}; ended processes: {run.fleet.ended_by_themselves()}"
    )
    if recent or run.engines.running() or run.fleet.ended_by_themselves():
        raise CouldNotRun("the last seconds were not calm")
    return BROKEN


if __name__ == "__main__":
    run_case(play, FOLDER)
