#!/usr/bin/env python3
"""A crowd: every tenant sends ten times its usual load at once.

Baseline: the same arrivals without slots, by settings alone (see greedy_tenant.py).
"""

from bench_fleet import ENGINE_ROOM, UNLIMITED_ROOM, caller_class, run_load, running_fleet
from bench_fleet import settings_tree, slot_counters
from bench_report import first_token_line, median_in, plot, ratio, save, total_in

SEED = 12
DURATION_S = 26
CROWD_FROM_S, CROWD_TO_S = 8, 16
USUAL_PER_S, CROWD_PER_S = 3, 30
TENANTS = ("a", "b", "c")
LIMITS = {"per_s": 6, "burst": 4}


def measure(limits, listed_room):
    with running_fleet(settings_tree({name: limits for name in TENANTS}), listed_room) as fleet:
        rates = [(0, USUAL_PER_S), (CROWD_FROM_S, CROWD_PER_S), (CROWD_TO_S, USUAL_PER_S)]
        classes = [caller_class(fleet, name, rates) for name in TENANTS]
        records = run_load(fleet, classes, DURATION_S, SEED)
        return {"records": records, "counters": slot_counters(fleet)}


def describe(run):
    records = run["records"]
    summary = {}
    for name in TENANTS:
        record = records[name]
        before = median_in(record, 2, CROWD_FROM_S)
        during = median_in(record, CROWD_FROM_S + 1, CROWD_TO_S)
        after = median_in(record, CROWD_TO_S + 2, DURATION_S)
        summary[name] = {
            "outcomes": record["outcomes"],
            "answered_per_s_in_crowd": round(
                total_in(record, CROWD_FROM_S, CROWD_TO_S, "ok") / (CROWD_TO_S - CROWD_FROM_S), 1
            ),
            "first_token_p50_before_ms": before,
            "first_token_p50_during_ms": during,
            "first_token_p50_after_ms": after,
            "during_over_before": ratio(during, before),
            "first_token_p99_ms": record["first_token_ms"]["p99"],
            "refusal_p50_ms": record["refusal_ms"]["p50"],
            "refusal_p99_ms": record["refusal_ms"]["p99"],
            "refusals_with_retry_after": record["refusals_with_retry_after"],
            "refused_that_touched_an_engine": record["refused_that_touched_an_engine"],
        }
    return summary


def main():
    with_slots = measure(LIMITS, ENGINE_ROOM)
    without_slots = measure({"per_s": 0, "burst": UNLIMITED_ROOM}, UNLIMITED_ROOM)
    slots, baseline = describe(with_slots), describe(without_slots)
    factors = {
        name: ratio(
            baseline[name]["first_token_p50_during_ms"], slots[name]["first_token_p50_during_ms"]
        )
        for name in TENANTS
    }
    save(
        "crowd",
        {
            "summary": {
                "with_slots": slots,
                "without_slots": baseline,
                "first_token_without_over_with_slots": factors,
            },
            "with_slots": with_slots,
            "without_slots": without_slots,
        },
    )
    plot(
        "crowd",
        "First token of accepted calls; ten times the usual load from 8 s to 16 s",
        {
            "with slots": first_token_line(with_slots["records"]["a"]),
            "without slots": first_token_line(without_slots["records"]["a"]),
        },
    )


if __name__ == "__main__":
    main()
