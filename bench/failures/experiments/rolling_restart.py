"""Stops each node with SIGTERM and starts it again, one after the other, under load."""

import time

from http_calls import call
from trial import CLOSED_TENANT

STOP_LIMIT_S = 25
SETTLE_S = 2
HAND_OVER_WINDOW_S = 2


def run(trial):
    trial.sleep(4)
    trial.batches.submit("rolling-0", 100)
    trial.mark("rolling restart begins", event=True)
    exits = {}
    store_stops = []
    for number, node in enumerate(trial.fleet.controls + trial.fleet.fronts):
        if number % 4 == 3:
            trial.batches.submit(f"rolling-{number}", 40)
        begin = time.monotonic()
        if node.role == "store":
            store_stops.append(begin)
        code = node.stop(timeout=STOP_LIMIT_S)
        took = time.monotonic() - begin
        exits[node.name] = round(took, 2)
        trial.require(code == 0, f"{node.name} ended with {code}")
        trial.mark(f"{node.name} stopped in {took:.2f} s")
        node.start()
        trial.fleet.wait_until(lambda node=node: is_ready(node), f"{node.name} ready")
        trial.sleep(SETTLE_S)
    trial.extra["stop_seconds"] = exits
    trial.sleep(3)
    trial.extra["slowest_stream_start_near_store_stops_ms"] = slowest_start(trial, store_stops)
    check_refusals(trial)


def slowest_start(trial, moments):
    """Longest wait for the status of a stream begun around a hand-over: bounds its pause."""
    waits = [
        record.headed - record.begun
        for record in trial.load.records
        if record.stream
        and record.status == 200
        and record.tenant == CLOSED_TENANT
        and any(-0.1 < record.begun - moment < HAND_OVER_WINDOW_S for moment in moments)
    ]
    return [round(1000 * wait) for wait in sorted(waits)[-3:]], len(waits)


def is_ready(node):
    try:
        address, path = (node.callers or node.operators), "/readyz"
        return call(address, "GET", path, timeout=2).status == 200
    except OSError:
        return False


def check_refusals(trial):
    """No call may fail but with an honest 503 that did not run."""
    for record in list(trial.load.records):
        outcome = record.outcome()
        honest = record.status == 503 and record.ran == "no" and record.retry_after
        if record.ended and outcome != "answered" and not honest:
            at = round(record.begun - trial.begun, 2)
            trial.require(
                False,
                f"at {at} s: {outcome} {record.status} {record.ran} "
                f"{record.error_type} {record.failure}",
            )
