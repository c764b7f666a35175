"""The project's processes as the deploy file starts them, each machine at a loopback address."""

import json
import os
import random
import re
import signal
import socket
import subprocess
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONT_PORT = 8689
READY_PORT = 8687
CONTROL_PORT = 8683
LISTING_PORT = 8688
ENGINE_PORT = 8080
INTERNAL_PORTS = [7360, 7375]
GRACE_S = 8
REGION = "region-1"
ZONES = ["zone-a", "zone-b", "zone-c"]
ALL_PORTS = [FRONT_PORT, READY_PORT, CONTROL_PORT, LISTING_PORT, ENGINE_PORT, *INTERNAL_PORTS]

# As on the pages' sheets of the two small deployments.
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 3000,
    "grace_s": GRACE_S,
    "config_apply_ms": 2000,
    "finish_s": 10,
    "status_s": 120,
    "cancel_ms": 3000,
    "settle_ms": 1000,
}


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def shown(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(shown(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill(template, fields):
    """Fills a settings template as the deploy page says (the forms that this project uses)."""

    def section(match):
        return match.group(2) if lookup(fields, match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)

    def gap(match):
        name, as_json = match.group(1), match.group(2)
        value = lookup(fields, name)
        return json.dumps(value) if as_json else shown(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


def free_network():
    """The second octet of a 127.x network on which nothing listens at our ports."""
    for octet in random.sample(range(16, 250), 60):
        try:
            for port in ALL_PORTS:
                with socket.socket() as probe:
                    probe.bind((f"127.{octet}.1.1", port))
            return f"127.{octet}"
        except OSError:
            continue
    raise RuntimeError("no free loopback network")


class Process:
    """One process of a role on a machine."""

    def __init__(self, fleet, name, role, ip, zone, data_dir):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.data_dir = data_dir
        self.running = None
        self.first_start = True

    @property
    def front_address(self):
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def ready_address(self):
        return f"{self.ip}:{READY_PORT}"

    @property
    def control_address(self):
        return f"{self.ip}:{CONTROL_PORT}"

    def _fields(self):
        listen = {"front": self.front_address, "ready": self.ready_address}
        if self.role == "register":
            listen = {"control": self.control_address}
        return {
            "node_name": self.name,
            "role": self.role,
            "ip": self.ip,
            "zone": self.zone,
            "region": REGION,
            "internal_ports": INTERNAL_PORTS,
            "seed_nodes": self.fleet.seeds,
            "bootstrap": self.first_start,
            "data_dir": self.data_dir,
            "listen": listen,
            "limits": {"disk_mb": 64 if self.role == "register" else 580},
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "cloud_api": {"address": self.fleet.listing_address},
        }

    def start(self):
        role = self.fleet.deploy["roles"][self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = fill(file.read(), self._fields())
        self.first_start = False
        settings = os.path.join(self.fleet.folder, f"{self.name}.{self.role}.json")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        # The page's settings file lies at a fixed path; here each process has one of its own.
        command = role["run"].replace("/etc/shedshed/boot.toml", settings).split(" ")
        environment = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        environment["SHEDSHED_SETTINGS"] = settings
        with open(os.path.join(self.fleet.folder, f"{self.name}.{self.role}.log"), "ab") as log:
            self.running = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def alive(self):
        return self.running is not None and self.running.poll() is None

    def send_signal(self, number):
        if self.alive():
            self.running.send_signal(number)

    def kill(self):
        if self.alive():
            self.running.kill()
            self.running.wait()


class Fleet:
    """Fronts (the first one of each zone with a register beside it) and three stores."""

    def __init__(self, folder, fronts=3, stores=3):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.folder = folder
        self.network = free_network()
        self.listing_address = f"{self.network}.250.1:{LISTING_PORT}"
        self.fronts, self.registers, self.stores = [], [], []
        for index in range(fronts):
            name, ip = f"front-{index}", f"{self.network}.1.{index + 1}"
            zone = ZONES[index % len(ZONES)]
            self.fronts.append(Process(self, name, "data", ip, zone, None))
            if index < len(ZONES):
                disk = self._disk(name)
                self.registers.append(Process(self, name, "register", ip, zone, disk))
        for index in range(stores):
            name, ip = f"store-{index}", f"{self.network}.2.{index + 1}"
            disk = self._disk(name)
            self.stores.append(Process(self, name, "store", ip, ZONES[index % len(ZONES)], disk))
        self.seeds = [register.control_address for register in self.registers]

    def _disk(self, name):
        path = os.path.join(self.folder, "disks", name)
        os.makedirs(path)
        return path

    def all(self):
        return self.registers + self.stores + self.fronts

    def start(self):
        for process in self.all():
            process.start()

    def ended_by_themselves(self):
        return [f"{process.name}/{process.role}" for process in self.all() if not process.alive()]

    def stop(self):
        """Ends all processes that were started."""
        for process in self.all():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in self.all():
            if process.running is not None:
                process.running.wait()
