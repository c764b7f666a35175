#!/usr/bin/env python3
"""A node starts on the data folder that an earlier version wrote, and reads everything back.

Run: tests/fleet/stored_data_test.py --build build

stored_node/node.tar.xz is the folder of the only store of a fleet, written by version 30f478f and
ended by SIGKILL: registers with three changes of the settings, the rows of partitions, and batches
that were finished, cancelled, and under way (their engine was stopped after their items had
started). expected.json holds what that version had acknowledged. Members are listed by address, so
the test needs the ports of that fleet.
"""

import argparse
import json
import os
import sys
import tarfile
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tools", "lib"))

from fleet import Fleet, FleetError  # noqa: E402
from http_calls import call  # noqa: E402

FIXTURE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "stored_node")
BASE_PORT = 27300
KEY = "compat-key"
LIMIT_S = 60


def require(condition, what):
    if not condition:
        raise FleetError(what)


def status_of(fleet, batch):
    return call(fleet.fronts[0].callers, "GET", f"/v1/batches/{batch['id']}", key=KEY).json()


def check_settings(fleet, expected):
    reply = fleet.operator(fleet.controls[0], "GET", "/v1/settings")
    require(reply.status == 200, f"settings: {reply.status} {reply.body}")
    require(reply.json() == expected["tree"], f"settings: {reply.body}")
    version = reply.headers["ETag"]
    require(version == f'"{expected["version"]}"', f"version of the settings: {version}")
    again = fleet.put(
        "settings", expected["tree"], expected["version"] - 1, order_id=expected["order_id"]
    )
    require(again == expected["version"], f"a resent change made version {again}")


def check_finished(fleet, batch):
    path = f"/v1/batches/{batch['id']}/results?from=0&limit=100"
    results = call(fleet.fronts[0].callers, "GET", path, key=KEY).json()
    require(results == batch["results"], f"results changed: {results}")
    resent = call(fleet.fronts[0].callers, "POST", "/v1/batches", batch["body"], KEY)
    require(resent.status == 200 and resent.json()["id"] == batch["id"], f"resend: {resent.body}")


def check_started(fleet, batch, state):
    fleet.wait_until(
        lambda: status_of(fleet, batch)[state] == 2, f"{state}: {status_of(fleet, batch)}", LIMIT_S
    )


def check(fleet, expected):
    fleet.start()
    fleet.wait_ready()
    check_settings(fleet, expected["settings"])
    check_finished(fleet, expected["finished"])
    cancelled = status_of(fleet, expected["cancelled"])
    require(cancelled["cancelled"] and cancelled["cancelled_items"] == 3, f"{cancelled}")
    check_started(fleet, expected["started_once"], "unknown")
    check_started(fleet, expected["started_repeatable"], "done")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    arguments = parser.parse_args()
    with open(os.path.join(FIXTURE, "expected.json"), encoding="utf-8") as file:
        expected = json.load(file)
    with tempfile.TemporaryDirectory(prefix="stored-data-") as folder:
        with tarfile.open(os.path.join(FIXTURE, "node.tar.xz")) as archive:
            archive.extractall(folder)
        fleet = Fleet(
            arguments.build,
            folder,
            stores=1,
            registers=0,
            fronts=1,
            engines=1,
            base_port=BASE_PORT,
            zones=1,
        )
        try:
            check(fleet, expected)
        finally:
            fleet.stop()
    print("stored data: all read back")


if __name__ == "__main__":
    main()
