"""Starts, kills, freezes and stops the processes of a whole fleet on loopback.

The product's own processes start no process; this module is the only thing that does.
"""

import json
import os
import secrets
import shutil
import signal
import subprocess
import time

from http_calls import call

HOST = "127.0.0.1"
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 15


class FleetError(Exception):
    """The fleet did not do what was asked in time."""


class Node:
    """One process of the fleet."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.process = None
        self.outlives_starter = False
        """Set for a fleet that goes on when the tool that started it has ended."""
        self.internal = ""
        self.operators = ""
        self.callers = ""
        self.zone = ""
        self.role = ""
        self.data_folder = ""

    def start(self):
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            self.command,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            start_new_session=self.outlives_starter,
        )
        log.close()

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        """Power loss for the process: SIGKILL."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def wipe(self):
        """Loss of the machine's disk: deletes the data folder of an ended process."""
        shutil.rmtree(self.data_folder)

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)

    def wake(self):
        self.process.send_signal(signal.SIGCONT)

    def stop(self, timeout=STOP_TIMEOUT_S):
        """Asks the process to end and returns its exit code; kills it after the timeout."""
        if not self.alive():
            return self.process.returncode if self.process else None
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.log_stacks()
            self.kill()
            return None

    def log_stacks(self):
        """Appends the stacks of all threads to the log, where a debugger is installed."""
        if shutil.which("gdb"):
            with open(self.log_path, "ab") as log:
                subprocess.run(
                    ["gdb", "-batch", "-p", str(self.process.pid), "-ex", "thread apply all bt 16"],
                    stdout=log,
                    stderr=subprocess.DEVNULL,
                    stdin=subprocess.DEVNULL,
                    check=False,
                )


class Fleet:
    """A fleet's folder, settings files and processes."""

    def __init__(
        self,
        build,
        folder,
        stores=3,
        registers=3,
        fronts=11,
        engines=18,
        base_port=17000,
        zones=3,
        model="m",
        engine_flags=(),
    ):
        self.build = os.path.abspath(build)
        self.folder = os.path.abspath(folder)
        self.base_port = base_port
        self.zones = zones
        self.model = model
        os.makedirs(self.folder, exist_ok=True)
        self._kept("fleet.key", secrets.token_hex(32))
        self.operator_key = self._kept("operator.key", secrets.token_hex(16))
        self.controls = []
        self.fronts = []
        self.engines = []
        seeds = [f"{HOST}:{base_port + i}" for i in range(min(3, stores))]
        self.seeds = seeds
        for i in range(stores + registers):
            role = "store" if i < stores else "register"
            self.controls.append(self._control(i, role, seeds))
        for i in range(fronts):
            self.fronts.append(self._front(i, seeds))
        for i in range(engines):
            self.engines.append(self._engine(i, engine_flags))

    @property
    def stores(self):
        return [node for node in self.controls if node.role == "store"]

    def nodes(self):
        return self.controls + self.fronts

    def _write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def _kept(self, name, text):
        """Returns what the folder's file says; writes `text` if there is none."""
        path = os.path.join(self.folder, name)
        if not os.path.exists(path):
            self._write(name, text)
        with open(path, encoding="utf-8") as file:
            return file.read()

    def _settings(self, name, values):
        values = dict(values)
        values["fleet_key_file"] = os.path.join(self.folder, "fleet.key")
        values["operator_key_file"] = os.path.join(self.folder, "operator.key")
        return self._write(name + ".json", json.dumps(values, indent=1))

    def _node(self, name, program, settings):
        path = self._settings(name, settings)
        command = [os.path.join(self.build, program), "--settings", path]
        node = Node(name, command, os.path.join(self.folder, name + ".log"))
        node.internal = settings["internal_address"]
        node.operators = settings["operators_address"]
        node.callers = settings.get("callers_address", "")
        node.zone = settings["zone"]
        node.role = settings.get("role", "data")
        node.data_folder = settings.get("data_folder", "")
        return node

    def _control(self, i, role, seeds):
        name = f"{role}-{i}"
        return self._node(
            name,
            "src/control/shedshed-control",
            {
                "role": role,
                "zone": f"zone-{i % self.zones}",
                "internal_address": f"{HOST}:{self.base_port + i}",
                "operators_address": f"{HOST}:{self.base_port + 100 + i}",
                "seeds": seeds,
                "data_folder": os.path.join(self.folder, name),
            },
        )

    def _front(self, i, seeds):
        return self._node(
            f"front-{i}",
            "src/data/shedshed-data",
            {
                "zone": f"zone-{i % self.zones}",
                "internal_address": f"{HOST}:{self.base_port + 200 + i}",
                "operators_address": f"{HOST}:{self.base_port + 300 + i}",
                "callers_address": f"{HOST}:{self.base_port + 400 + i}",
                "seeds": seeds,
            },
        )

    def _engine(self, i, flags):
        port = self.base_port + 600 + i
        name = f"engine-{i}"
        command = [
            os.path.join(self.build, "standins/shedshed-engine"),
            "--port",
            str(port),
            "--model",
            self.model,
            *flags,
        ]
        node = Node(name, command, os.path.join(self.folder, name + ".log"))
        node.callers = f"{HOST}:{port}"
        node.role = "engine"
        return node

    def add_store(self):
        """Starts a store with an empty folder at a new address; it is no member yet."""
        node = self._control(len(self.controls), "store", self.seeds)
        self.controls.append(node)
        node.start()
        self.wait_until(lambda: self._healthy(node), f"{node.name} answers")
        return node

    def ctl(self, *words, node=None, timeout=120):
        """Runs shedctl and returns the completed process.

        Without a node it is told of a front, and of the last control machine for what a front
        cannot do.
        """
        nodes = [node] if node else [self.fronts[0], self.controls[-1]]
        command = [
            os.path.join(self.build, "src/ctl/shedctl"),
            "--node",
            ",".join(known.operators for known in nodes),
            "--key-file",
            os.path.join(self.folder, "operator.key"),
            *words,
        ]
        return subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=timeout,
            stdin=subprocess.DEVNULL,
            check=False,
        )

    def start(self):
        for node in self.engines + self.controls + self.fronts:
            node.start()
        for node in self.nodes():
            self.wait_until(lambda node=node: self._healthy(node), f"{node.name} answers")

    @staticmethod
    def _healthy(node):
        if not node.alive():
            raise FleetError(f"{node.name} ended with {node.process.returncode}")
        try:
            return call(node.operators, "GET", "/healthz", timeout=2).status == 200
        except OSError:
            return False

    @staticmethod
    def wait_until(condition, what, timeout=START_TIMEOUT_S, interval=0.05):
        """Polls until the condition holds and returns the seconds it took."""
        begin = time.monotonic()
        while time.monotonic() - begin < timeout:
            if condition():
                return time.monotonic() - begin
            time.sleep(interval)
        raise FleetError(f"not within {timeout} s: {what}")

    def operator(self, node, method, path, body=None, headers=None, timeout=30):
        return call(node.operators, method, path, body, self.operator_key, headers, timeout)

    def init(self):
        body = {
            "acceptors": [node.internal for node in self.controls],
            "stores": [node.internal for node in self.stores],
        }
        reply = self.operator(self.controls[0], "POST", "/v1/fleet/init", body)
        if reply.status != 200:
            raise FleetError(f"init: {reply.status} {reply.body}")

    def put(self, register, value, base_version, order_id=None, node=None):
        """Puts a register's whole value and returns the new version."""
        headers = {"If-Match": f'"{base_version}"', "Order-Id": order_id or secrets.token_hex(8)}
        reply = self.operator(node or self.controls[0], "PUT", "/v1/" + register, value, headers)
        if reply.status != 200:
            raise FleetError(f"put {register}: {reply.status} {reply.body}")
        return reply.json()["version"]

    def engine_listing(self):
        return {
            "engines": [
                {
                    "id": engine.name,
                    "address": engine.callers,
                    "model": self.model,
                    "max_running": 8,
                }
                for engine in self.engines
            ]
        }

    def status(self, node):
        return self.operator(node, "GET", "/v1/status").json()

    def wait_in_force(self, register, version, timeout=START_TIMEOUT_S):
        """Waits until every front has the version in force; returns the seconds it took."""
        waiting = list(self.fronts)

        def all_have_it():
            waiting[:] = [
                node for node in waiting if self.status(node)["versions"].get(register, 0) < version
            ]
            return not waiting

        return self.wait_until(
            all_have_it, f"{register} version {version} in force", timeout, interval=0.01
        )

    def wait_ready(self, engines=None, timeout=START_TIMEOUT_S):
        """Waits until every front is ready and sees the engines as ready."""
        wanted = len(self.engines) if engines is None else engines

        def ready(node):
            try:
                if call(node.callers, "GET", "/readyz", timeout=2).status != 200:
                    return False
            except OSError:
                return False
            return self.status(node)["engines"].get("ready", 0) >= wanted

        for node in self.fronts:
            self.wait_until(lambda node=node: ready(node), f"{node.name} ready", timeout)

    def engine_runs(self):
        """Every request id that reached an engine, with its engine and outcome."""
        runs = []
        for engine in self.engines:
            if engine.alive():
                for run in call(engine.callers, "GET", "/log").json()["runs"]:
                    runs.append((run["request_id"], engine.name, run["outcome"]))
        return runs

    def stop(self):
        """Stops everything; returns the names of processes that did not end by themselves."""
        late = []
        for node in self.fronts + self.controls + self.engines:
            if node.alive():
                node.process.send_signal(signal.SIGCONT)
                node.process.send_signal(signal.SIGTERM)
        for node in self.fronts + self.controls + self.engines:
            if node.process is not None and node.stop() is None:
                late.append(node.name)
        return late
