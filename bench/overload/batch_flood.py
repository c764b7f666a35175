#!/usr/bin/env python3
"""Floods of batches land while live traffic runs, which then jumps.

Three runs of the same live arrivals: without batches, with batches under lending, and with batches
whose lending is unlimited by settings alone (the engines' listed room is far above the real one,
and no reserve is kept).
"""

import json
import sys
import threading
import time

from bench_fleet import ENGINE_ROOM, ENGINES, UNLIMITED_ROOM, caller_class, caller_key
from bench_fleet import finish_load, running_fleet, settings_tree, slot_counters, start_load
from bench_report import first_token_line, median_in, plot, ratio, save
from http_calls import call, chat_body

SEED = 14
DURATION_S = 40
BATCHES = 5
ITEMS = 60
ITEM_TOKENS = 60
BATCHES_AT_S = 4
JUMP_FROM_S, JUMP_TO_S = 16, 26
USUAL_PER_S, JUMP_PER_S = 3, 10
FINISH_LIMIT_S = 75
SAMPLE_S = 0.25
# Together the pools come to the room of the engines (24 at a hold of half a second), so that none
# is scaled down.
LIVE_LIMITS = {"per_s": 6, "burst": 3}
BATCH_LIMITS = {"per_s": 0, "burst": 12}


def submit(fleet):
    """Submits all batches at once and returns their ids."""
    ids = []
    for i in range(BATCHES):
        items = [
            chat_body(f"caption {i} of room {j}", max_tokens=ITEM_TOKENS) for j in range(ITEMS)
        ]
        body = {"client_key": f"flood-{i}", "repeatable": False, "items": items}
        front = fleet.fronts[i % len(fleet.fronts)].callers
        reply = call(front, "POST", "/v1/batches", body, caller_key("batches"))
        if reply.status != 201:
            raise RuntimeError(f"batch refused: {reply.status} {reply.body}")
        ids.append(reply.json()["id"])
    return ids


class BatchWatch(threading.Thread):
    """Submits the batches and samples how many items are done and how busy the engines are."""

    def __init__(self, fleet, begin):
        super().__init__()
        self.fleet = fleet
        self.begin = begin
        self.samples = []
        self.failure = None

    def run(self):
        try:
            time.sleep(max(0, self.begin + BATCHES_AT_S - time.monotonic()))
            self.watch(submit(self.fleet))
        except Exception as failure:  # Reported by the main thread.
            self.failure = repr(failure)

    def watch(self, ids):
        done = 0
        while done < BATCHES * ITEMS and time.monotonic() - self.begin < FINISH_LIMIT_S:
            front = self.fleet.fronts[0].callers
            states = [
                call(front, "GET", f"/v1/batches/{i}", key=caller_key("batches")).json()
                for i in ids
            ]
            done = sum(state["done"] + state["failed"] + state["unknown"] for state in states)
            started = sum(state["started"] for state in states)
            busy = [
                call(engine.callers, "GET", "/health").json()["running"]
                for engine in self.fleet.engines
            ]
            self.samples.append(
                {
                    "at_s": round(time.monotonic() - self.begin, 2),
                    "done": done,
                    "started": started,
                    "engines_running": sum(busy),
                }
            )
            time.sleep(SAMPLE_S)


def measure(batches, listed_room, reserve):
    tenants = {"live_a": LIVE_LIMITS, "live_b": LIVE_LIMITS, "batches": dict(BATCH_LIMITS)}
    if listed_room == UNLIMITED_ROOM:
        tenants["batches"]["burst"] = UNLIMITED_ROOM
    settings = settings_tree(tenants, batch_reserve=reserve)
    with running_fleet(settings, listed_room) as fleet:
        rates = [(0, USUAL_PER_S), (JUMP_FROM_S, JUMP_PER_S), (JUMP_TO_S, USUAL_PER_S)]
        classes = [caller_class(fleet, name, rates) for name in ("live_a", "live_b")]
        load = start_load(classes, DURATION_S, SEED)
        watch = BatchWatch(fleet, time.monotonic())
        if batches:
            watch.start()
        records = finish_load(load, fleet, DURATION_S)
        if batches:
            watch.join()
        if watch.failure:
            print("batches:", watch.failure, file=sys.stderr)
        return {"records": records, "batches": watch.samples, "counters": slot_counters(fleet)}


def started_after(samples, level_s, value):
    """Seconds after level_s until at most `value` items were started."""
    for sample in samples:
        if sample["at_s"] >= level_s and sample["started"] <= value:
            return round(sample["at_s"] - level_s, 2)
    return None


def describe(run):
    summary = {}
    for name in ("live_a", "live_b"):
        record = run["records"][name]
        summary[name] = {
            "outcomes": record["outcomes"],
            "first_token_p50_usual_ms": median_in(record, BATCHES_AT_S, JUMP_FROM_S),
            "first_token_p50_jump_ms": median_in(record, JUMP_FROM_S, JUMP_TO_S),
            "first_token_p90_ms": record["first_token_ms"]["p90"],
            "first_token_p99_ms": record["first_token_ms"]["p99"],
        }
    samples = run["batches"]
    if samples:
        before = [s for s in samples if BATCHES_AT_S + 4 <= s["at_s"] < JUMP_FROM_S]
        jump = [s for s in samples if JUMP_FROM_S + 3 <= s["at_s"] < JUMP_TO_S]

        def mean(rows, key):
            return round(sum(row[key] for row in rows) / len(rows), 1) if rows else None

        last = [s for s in samples if s["at_s"] <= DURATION_S][-1]
        summary["batches"] = {
            "items": BATCHES * ITEMS,
            "done": samples[-1]["done"],
            "done_at_end_of_live": last["done"],
            "finished_at_s": samples[-1]["at_s"],
            "started_mean_usual": mean(before, "started"),
            "started_mean_jump": mean(jump, "started"),
            "engines_running_mean_usual": mean(before, "engines_running"),
            "room": ENGINES * ENGINE_ROOM,
            "items_per_s_usual": ratio(
                before[-1]["done"] - before[0]["done"], before[-1]["at_s"] - before[0]["at_s"]
            )
            if before
            else None,
            "taken_back_half_after_s": started_after(
                samples, JUMP_FROM_S, (before[-1]["started"] if before else 0) / 2
            ),
        }
    return summary


def main():
    if sys.argv[1:] == ["--only-lending"]:
        print(json.dumps(describe(measure(True, ENGINE_ROOM, 0.1)), indent=1))
        return
    alone = measure(False, ENGINE_ROOM, 0.1)
    lent = measure(True, ENGINE_ROOM, 0.1)
    unlimited = measure(True, UNLIMITED_ROOM, 0)
    described = {
        "no_batches": describe(alone),
        "lending": describe(lent),
        "unlimited_lending": describe(unlimited),
    }
    for phase in ("usual", "jump"):
        key = f"first_token_p50_{phase}_ms"
        described[f"{phase}_over_no_batches"] = {
            name: ratio(described[name]["live_a"][key], described["no_batches"]["live_a"][key])
            for name in ("lending", "unlimited_lending")
        }
    save(
        "batch_flood",
        {
            "summary": described,
            "no_batches": alone,
            "lending": lent,
            "unlimited_lending": unlimited,
        },
    )
    plot(
        "batch_flood",
        "Live first token; batches land at 4 s, live load jumps 16 s to 26 s",
        {
            "no batches": first_token_line(alone["records"]["live_a"]),
            "lending": first_token_line(lent["records"]["live_a"]),
            "unlimited lending": first_token_line(unlimited["records"]["live_a"]),
        },
    )
    plot(
        "batch_flood_items",
        "Batch items under way; live load jumps 16 s to 26 s",
        {
            name: [(s["at_s"], s["started"]) for s in run["batches"]]
            for name, run in (("lending", lent), ("unlimited lending", unlimited))
        },
        y_label="items started, not finished",
        log=False,
    )


if __name__ == "__main__":
    main()
