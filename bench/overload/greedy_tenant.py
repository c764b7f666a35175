#!/usr/bin/env python3
"""One tenant at many times its usual load: do the others keep their first-token time?

Baseline: the same load without slots, by settings alone: every tenant's burst and
the engines' listed room are so large that nothing is refused.
"""

from bench_fleet import UNLIMITED_ROOM, caller_class, run_load, running_fleet, settings_tree
from bench_fleet import ENGINE_ROOM, slot_counters
from bench_report import first_token_line, median_in, plot, ratio, save, total_in

SEED = 11
DURATION_S = 24
GREEDY_FROM_S, GREEDY_TO_S = 8, 18
USUAL_PER_S, GREEDY_PER_S = 5, 80
LIMITS = {"per_s": 5, "burst": 4}


def measure(limits, listed_room):
    tenants = {"usual_a": limits, "usual_b": limits, "greedy": limits}
    with running_fleet(settings_tree(tenants), listed_room) as fleet:
        steady = [(0, USUAL_PER_S)]
        rising = [(0, USUAL_PER_S), (GREEDY_FROM_S, GREEDY_PER_S), (GREEDY_TO_S, USUAL_PER_S)]
        classes = [
            caller_class(fleet, "usual_a", steady),
            caller_class(fleet, "usual_b", steady),
            caller_class(fleet, "greedy", rising),
        ]
        records = run_load(fleet, classes, DURATION_S, SEED)
        return {"records": records, "counters": slot_counters(fleet)}


def describe(run):
    greedy = run["records"]["greedy"]
    summary = {}
    for name in ("usual_a", "usual_b"):
        record = run["records"][name]
        before = median_in(record, 2, GREEDY_FROM_S)
        during = median_in(record, GREEDY_FROM_S + 1, GREEDY_TO_S)
        summary[name] = {
            "sent": record["sent"],
            "outcomes": record["outcomes"],
            "first_token_p50_before_ms": before,
            "first_token_p50_during_ms": during,
            "during_over_before": ratio(during, before),
            "first_token_p99_ms": record["first_token_ms"]["p99"],
        }
    summary["greedy"] = {
        "outcomes": greedy["outcomes"],
        "refused_in_flood": total_in(greedy, GREEDY_FROM_S, GREEDY_TO_S, "refused"),
        "refusal_p50_ms": greedy["refusal_ms"]["p50"],
        "refusal_p99_ms": greedy["refusal_ms"]["p99"],
        "refusals_with_retry_after": greedy["refusals_with_retry_after"],
        "refused_that_touched_an_engine": greedy["refused_that_touched_an_engine"],
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
        for name in ("usual_a", "usual_b")
    }
    save(
        "greedy_tenant",
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
        "greedy_tenant",
        "Another tenant's first token while one tenant floods (8 s to 18 s)",
        {
            "with slots": first_token_line(with_slots["records"]["usual_a"]),
            "without slots": first_token_line(without_slots["records"]["usual_a"]),
        },
    )


if __name__ == "__main__":
    main()
