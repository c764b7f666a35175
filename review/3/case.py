"""Items of a batch job whose headers hold the client's key and the name of another tenant."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

from case import BATCH_PATH, BROKEN, HELD, KEY, OTHER_TENANT, TENANT, Batch  # noqa: E402
from case import CouldNotRun, configuration, route, run_case  # noqa: E402

ENGINES = {"svc-one": 4}
LIVE_PATH = "/live/"
# What a client that makes items of its usual requests puts into them, and what must not count.
WITH_KEY = {"Authorization": f"Token {KEY}"}
WITH_TENANT = {"X-Shedshed-Tenant": OTHER_TENANT}


def is_broken(run, requests):
    """UNASKED: another tenant than that of the key, or the key itself, reached an engine."""
    broken = False
    for _, engine, request_id, fields in run.engines.runs:
        if request_id not in requests:
            continue
        tenants = [value for name, value in fields if name == "x-shedshed-tenant"]
        keys = [f"{name}: {value}" for name, value in fields if KEY in value]
        if not tenants or set(tenants) != {TENANT} or keys:
            broken = True
            run.record.write(
                f"UNASKED: {request_id} ran at {engine.id} with X-Shedshed-Tenant {tenants} and "
                f"fields with the key {keys}"
            )
    return broken


async def play(run, trouble):
    routes = {
        "batch": route("batch", BATCH_PATH, service="svc-one"),
        "live": route("streaming", LIVE_PATH, service="svc-one"),
    }
    await run.begin(ENGINES, configuration(5, routes, list(ENGINES)))

    sets = [WITH_KEY, WITH_TENANT] if trouble else [{}, {}]
    batches = []
    for number, headers in enumerate(sets):
        await run.live_request(LIVE_PATH, f"live{number}", headers)
        batch = Batch("b", 4, headers=headers)
        run.record.write(f"client: batch job {batch.id} of {TENANT}, headers of items {headers}")
        await run.submit_until_taken(batch)
        batches.append(batch)
    for batch in batches:
        await run.follow(batch, 20)
    await asyncio.sleep(0.2)

    live_broken = is_broken(run, {f"live{number}" for number in range(len(sets))})
    run.record.write(f"live requests broke the rule: {live_broken}")
    items = {item for batch in batches for item in batch.items}
    if not any(entry[2] in items for entry in run.engines.runs):
        raise CouldNotRun("no item has run")
    return BROKEN if is_broken(run, items) or live_broken else HELD


if __name__ == "__main__":
    run_case(play, FOLDER)
