"""A fleet that goes on running between two uses of a tool; its state lies in its folder.

The folder's fleet.json names the fleet's options and its processes. A process is known by its
number and the time of its start, so that a stranger with a number used again is never touched.
"""

import json
import os
import signal
import subprocess
import time

from fleet import Fleet

STATE_FILE = "fleet.json"
START_TIME_FIELD = 19
"""Index of a process's start time in /proc/PID/stat after the name."""
STATE_FIELD = 0
POLL_S = 0.02


class AdoptedProcess:
    """A process that an earlier use of the tool started. Stands in for `subprocess.Popen`."""

    def __init__(self, pid, started):
        self.pid = pid
        self.started = started
        self.returncode = None

    def poll(self):
        """None while the process runs; its exit code cannot be known and is given as 0."""
        if start_time(self.pid) != self.started:
            self.returncode = 0
        return self.returncode

    def send_signal(self, number):
        if self.poll() is None:
            os.kill(self.pid, number)

    def kill(self):
        self.send_signal(signal.SIGKILL)

    def wait(self, timeout=None):
        deadline = None if timeout is None else time.monotonic() + timeout
        while self.poll() is None:
            if deadline is not None and time.monotonic() > deadline:
                raise subprocess.TimeoutExpired(str(self.pid), timeout)
            time.sleep(POLL_S)
        return 0


def start_time(pid):
    """Start time of a running process in clock ticks; None if there is none."""
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
            fields = file.read().rsplit(") ", 1)[1].split()
    except OSError:
        return None
    return None if fields[STATE_FIELD] == "Z" else int(fields[START_TIME_FIELD])


def create(build, folder, **options):
    """A fleet that is not started yet, with its options noted in its folder."""
    fleet = Fleet(build, folder, **options)
    for node in fleet.nodes() + fleet.engines:
        node.outlives_starter = True
    return fleet


def save(fleet, options):
    """Notes the options and the running processes."""
    processes = {
        node.name: {"pid": node.process.pid, "started": start_time(node.process.pid)}
        for node in fleet.nodes() + fleet.engines
        if node.alive()
    }
    state = {"build": fleet.build, "options": options, "processes": processes}
    path = os.path.join(fleet.folder, STATE_FILE)
    with open(path + ".new", "w", encoding="utf-8") as file:
        json.dump(state, file, indent=1)
    os.replace(path + ".new", path)


def reopen(folder):
    """Returns the fleet of the folder with its running processes, and its options."""
    with open(os.path.join(folder, STATE_FILE), encoding="utf-8") as file:
        state = json.load(file)
    fleet = create(state["build"], folder, **state["options"])
    for node in fleet.nodes() + fleet.engines:
        known = state["processes"].get(node.name)
        if known:
            node.process = AdoptedProcess(known["pid"], known["started"])
    return fleet, state["options"]
