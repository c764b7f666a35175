"""One experiment's run: a fleet, its load, what happened when, and the figures."""

import collections
import http.client
import json
import os
import time

from batch_load import BatchLoad
from fleet import Fleet, FleetError
from http_calls import call, key_digest
from live_load import LiveLoad
from outcome_checker import EngineLogs, check_batches, check_live

BATCHES_TIMEOUT_S = 90
EXAMPLES = 3
CLOSED_TENANT = "acme"
OPEN_TENANT = "solo"
KEYS = {CLOSED_TENANT: "acme-caller-key", OPEN_TENANT: "solo-caller-key"}
SETTINGS = {
    "fleet": {"per_s": 200, "burst": 100},
    "tenants": {
        CLOSED_TENANT: {
            "fail_mode": "closed",
            "keys": [{"digest": key_digest(KEYS[CLOSED_TENANT])}],
        },
        OPEN_TENANT: {"fail_mode": "open", "keys": [{"digest": key_digest(KEYS[OPEN_TENANT])}]},
    },
}


class Trial:
    """What an experiment works with. One tenant's limit fails closed, the other's open."""

    def __init__(self, options, folder):
        self.options = options
        self.fleet = Fleet(
            options.build,
            folder,
            stores=options.stores,
            registers=options.registers,
            fronts=options.fronts,
            engines=options.engines,
            base_port=options.base_port,
        )
        self.load = LiveLoad(self.fleet.fronts, KEYS, options.rate, options.repeatable_share)
        self.batches = BatchLoad(self.load.balancer, KEYS[CLOSED_TENANT])
        self.logs = EngineLogs()
        self.lives = collections.Counter()
        self.settings_version = 0
        self.begun = 0.0
        self.event_at = 0.0
        self.timeline = []
        self.extra = {}
        """Figures of this experiment only."""
        self.failures = []
        """Requirements of this experiment that were not met."""

    def start(self):
        self.fleet.start()
        self.fleet.init()
        self.fleet.put("engines", self.fleet.engine_listing(), 0)
        self.settings_version = self.fleet.put("settings", SETTINGS, 0)
        self.fleet.wait_in_force("settings", self.settings_version)
        self.fleet.wait_ready()
        self.begun = time.monotonic()
        self.load.start()

    def mark(self, what, event=False):
        """Notes what was done; with `event` the figures count from here."""
        now = time.monotonic()
        if event:
            self.event_at = now
        self.timeline.append({"at_s": round(now - self.begun, 2), "what": what})
        print(f"  {now - self.begun:6.1f} s  {what}", flush=True)

    def require(self, condition, what):
        if not condition:
            self.failures.append(what)

    def sleep(self, seconds):
        time.sleep(seconds)

    def control_engine(self, engine, action, **values):
        """Gives the stand-in an order; a crash answers nothing."""
        self.read_log(engine)
        try:
            call(engine.callers, "POST", "/control", {"action": action, **values}, timeout=5)
        except (OSError, http.client.HTTPException):
            pass
        if action == "crash":
            self.lives[engine.name] += 1

    def read_log(self, engine):
        if engine.alive():
            runs = call(engine.callers, "GET", "/log").json()["runs"]
            self.logs.read(engine.name, self.lives[engine.name], runs)

    def slot_owners(self):
        """Store name to the number of slot partitions that it owns."""
        owned = {}
        for store in self.fleet.stores:
            if store.alive():
                epochs = self.fleet.status(store)["epochs"]
                owned[store.name] = sum(1 for e in epochs if e["table"] == "slots" and e["owner"])
        return owned

    def pool_owner(self):
        """The store that owns the pool of the tenant whose limit fails closed."""
        for store in self.fleet.stores:
            pools = self.fleet.operator(store, "GET", "/v1/slots").json()["pools"]
            if any(pool["key"] == CLOSED_TENANT for pool in pools):
                return store
        raise FleetError("no store owns the pool")

    def finish(self):
        """Ends the load and returns the result."""
        self.load.stop()
        self.batches.stop(BATCHES_TIMEOUT_S)
        for engine in self.fleet.engines:
            self.read_log(engine)
        counts = self.logs.counts()
        wrong = dict(check_live(self.load.records, counts))
        wrong.update(check_batches(self.batches.batches, counts))
        return {
            "wrong_outcomes": sum(len(examples) for examples in wrong.values()),
            "wrong_examples": {
                kind: [str(e) for e in examples[:EXAMPLES]]
                for kind, examples in wrong.items()
                if examples
            },
            "requirements_failed": self.failures,
            "calls": self._call_figures(),
            "grants": self._grant_figures(),
            "batches": [self._batch_figures(batch) for batch in self.batches.batches],
            "engine_requests": sum(counts.values()),
            "timeline": self.timeline,
            **self.extra,
        }

    def _call_figures(self):
        before = [r for r in self.load.records if r.begun < self.event_at]
        after = [r for r in self.load.records if r.begun >= self.event_at]
        return {"before": _outcomes(before), "after": _outcomes(after)}

    def _grant_figures(self):
        """From the tenant whose limit fails closed: each of its answers needed a grant."""
        records = [r for r in self.load.records if r.tenant == CLOSED_TENANT]
        after = [r for r in records if r.begun >= self.event_at]
        granted = sorted(r.headed for r in records if r.status == 200)
        refused = [r.ended for r in after if r.status >= 500]
        last_refusal = max(refused, default=self.event_at)
        first_grant = next((at for at in granted if at > last_refusal), None)
        gaps = [b - a for a, b in zip(granted, granted[1:]) if b > self.event_at]
        return {
            "refused_closed_tenant": len(refused),
            "grants_work_again_s": _rounded(first_grant and first_grant - self.event_at),
            "longest_pause_between_grants_s": _rounded(max(gaps, default=None)),
        }

    @staticmethod
    def _batch_figures(batch):
        states = collections.Counter(state for state, _ in batch.results.values())
        return {
            "name": batch.name,
            "items": len(batch.prompts),
            "repeatable": batch.repeatable,
            "states": dict(states),
            "submit_refusals": batch.submit_refusals,
            "first_read_after_acceptance_s": _rounded(batch.first_read_at - batch.accepted_at),
            "complete_after_s": _rounded(
                batch.complete_at and batch.complete_at - batch.accepted_at
            ),
        }


def _outcomes(records):
    outcomes = collections.Counter(record.outcome() for record in records)
    waits = sorted(r.headed - r.begun for r in records if r.status == 200)
    errors = collections.Counter(
        f"{r.outcome()} error={r.error_type or r.failure} ran={r.ran or '-'}"
        for r in records
        if r.outcome() in ("broken", "lost", "unreachable")
    )
    return {
        "total": len(records),
        "outcomes": dict(sorted(outcomes.items())),
        "errors": dict(errors),
        "first_byte_ms": {
            name: _rounded(_part(waits, part) * 1000)
            for name, part in (("p50", 0.5), ("p99", 0.99), ("max", 1.0))
        },
    }


def _part(values, part):
    return values[min(len(values) - 1, int(len(values) * part))] if values else 0.0


def _rounded(value):
    return None if value is None else round(value, 3)


def write_result(folder, name, result):
    os.makedirs(folder, exist_ok=True)
    path = os.path.join(folder, f"failures_{name}.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(result, file, indent=1)
        file.write("\n")
    return path
