"""A small fleet for experiments: starts it, runs stand-in clients on it, reads its counters."""

import contextlib
import json
import os
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tools", "lib"))

from fleet import Fleet  # noqa: E402
from http_calls import key_digest  # noqa: E402

BUILD = os.environ.get("SHEDSHED_BUILD", os.path.join(ROOT, "build"))
BASE_PORT = int(os.environ.get("SHEDSHED_BASE_PORT", "28000"))
ENGINES = 6
FRONTS = 4
ENGINE_ROOM = 4
DECODE_MS = 8
LOAD_GRACE_S = 90
UNLIMITED_ROOM = 1000


def caller_key(tenant):
    return tenant + "-caller-key"


def settings_tree(tenants, **fleet_level):
    """Settings with a key for each tenant; `tenants` maps a name to what it overrides."""
    tree = {"fleet": fleet_level, "tenants": {}}
    for name, level in tenants.items():
        tree["tenants"][name] = dict(level, keys=[{"digest": key_digest(caller_key(name))}])
    return tree


@contextlib.contextmanager
def running_fleet(settings, listed_room=ENGINE_ROOM):
    """A fleet with the settings in force. `listed_room` is what the engine listing says that an
    engine runs at once; the engines themselves run ENGINE_ROOM and queue the rest."""
    flags = ("--max-running", str(ENGINE_ROOM), "--decode-ms", str(DECODE_MS))
    with tempfile.TemporaryDirectory(prefix="shedshed-bench-") as folder:
        fleet = Fleet(
            BUILD,
            folder,
            stores=3,
            registers=3,
            fronts=FRONTS,
            engines=ENGINES,
            base_port=BASE_PORT,
            engine_flags=flags,
        )
        try:
            fleet.start()
            fleet.init()
            listing = fleet.engine_listing()
            for engine in listing["engines"]:
                engine["max_running"] = listed_room
            fleet.put("engines", listing, 0)
            version = fleet.put("settings", settings, 0)
            fleet.wait_in_force("settings", version)
            fleet.wait_ready()
            time.sleep(2)  # The stores adopt the engine table and the settings.
            yield fleet
        finally:
            late = fleet.stop()
            if late:
                print("did not stop when asked:", late, file=sys.stderr)


def caller_class(fleet, tenant, rates, **more):
    """A class of a load plan; `rates` is a list of (from_s, per_s)."""
    result = {
        "name": tenant,
        "key": caller_key(tenant),
        "rates": [{"from_s": at, "per_s": rate} for at, rate in rates],
        "targets": [front.callers for front in fleet.fronts],
        "max_tokens": 60,
    }
    result.update(more)
    return result


def start_load(classes, duration_s, seed):
    plan = {"seed": seed, "duration_s": duration_s, "classes": classes}
    process = subprocess.Popen(
        [os.path.join(BUILD, "standins", "shedshed-load")],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    process.stdin.write(json.dumps(plan))
    process.stdin.close()
    process.stdin = None
    return process


def finish_load(process, fleet, duration_s):
    """Waits for the callers and returns {class name: record}, with a check that no call that was
    refused has touched an engine."""
    output, _ = process.communicate(timeout=duration_s + LOAD_GRACE_S)
    records = {record["name"]: record for record in json.loads(output)["classes"]}
    touched = {run[0] for run in fleet.engine_runs()}
    for record in records.values():
        refused = record.pop("refused_ids")
        record["refused_that_touched_an_engine"] = sum(1 for i in refused if i in touched)
    return records


def run_load(fleet, classes, duration_s, seed):
    return finish_load(start_load(classes, duration_s, seed), fleet, duration_s)


def counters(fleet):
    """Sum of all counters of the nodes."""
    totals = {}
    for node in fleet.nodes():
        for line in fleet.operator(node, "GET", "/metrics").body.splitlines():
            if line.startswith("#") or " " not in line:
                continue
            name, value = line.rsplit(" ", 1)
            totals[name] = totals.get(name, 0) + float(value)
    return totals


def slot_counters(fleet):
    """Counters of slots and batches over all nodes."""
    return {
        name: value for name, value in counters(fleet).items() if "slot" in name or "batch" in name
    }
