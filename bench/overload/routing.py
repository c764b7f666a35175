#!/usr/bin/env python3
"""Routing by known prefix against random and rendezvous choice of the engine.

Callers ask about many long shared texts, more than one engine's prefix cache holds. Baselines:
the callers call the engines directly, at random or by rendezvous of the shared text, without any
front in between; so the fronts' own cost counts against the routing that is judged. The fronts run
with the usual bound of the load and with a loose one, which spills over only when an engine is
full.
"""

from bench_fleet import ENGINE_ROOM, caller_class, run_load, running_fleet, settings_tree
from bench_fleet import slot_counters
from bench_report import first_token_line, plot, ratio, save

SEED = 13
DURATION_S = 24
CALLS_PER_S = 20
PREFIXES = 60
PREFIX_BYTES = 8192
BLOCK_BYTES = 64
PREFILL_MS_PER_BLOCK = 4
LOOSE_BOUND = 8
CHOICES = ("fronts", "fronts_loose_bound", "random", "rendezvous")
LIMITS = {"per_s": 40, "burst": 24}


def measure(choice):
    bound = {"routing_load_bound": LOOSE_BOUND} if choice == "fronts_loose_bound" else {}
    with running_fleet(settings_tree({"reader": LIMITS}, **bound), ENGINE_ROOM) as fleet:
        more = {"prefixes": PREFIXES, "prefix_bytes": PREFIX_BYTES, "max_tokens": 16}
        if not choice.startswith("fronts"):
            more.update(targets=[engine.callers for engine in fleet.engines], choice=choice)
        classes = [caller_class(fleet, "reader", [(0, CALLS_PER_S)], **more)]
        record = run_load(fleet, classes, DURATION_S, SEED)["reader"]
        return {"record": record, "counters": slot_counters(fleet)}


def describe(run):
    record = run["record"]
    cold_ms = PREFIX_BYTES / BLOCK_BYTES * PREFILL_MS_PER_BLOCK
    mean = record["first_token_ms"]["mean"]
    return {
        "outcomes": record["outcomes"],
        "first_token_mean_ms": round(mean, 1),
        "first_token_p50_ms": record["first_token_ms"]["p50"],
        "first_token_p90_ms": record["first_token_ms"]["p90"],
        "share_of_cold_prefill": ratio(mean, cold_ms),
    }


def main():
    runs = {name: measure(name) for name in CHOICES}
    described = {name: describe(run) for name, run in runs.items()}
    mean = "first_token_mean_ms"
    described["random_over_fronts"] = ratio(described["random"][mean], described["fronts"][mean])
    described["rendezvous_over_fronts"] = ratio(
        described["rendezvous"][mean], described["fronts"][mean]
    )
    described["random_over_fronts_loose_bound"] = ratio(
        described["random"][mean], described["fronts_loose_bound"][mean]
    )
    save("routing", {"summary": described, **runs})
    plot(
        "routing",
        "First token with many long shared texts",
        {name: first_token_line(run["record"]) for name, run in runs.items()},
    )


if __name__ == "__main__":
    main()
