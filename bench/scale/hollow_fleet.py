"""Hollow data nodes beside the real control processes of a fleet."""

import json
import os
import subprocess
import threading

HOST = "127.0.0.1"

# A node of a fleet of 390 holds up to 389 connections each way, and a process may open 20,000 files
# on the machine that this was written on.
NODES_PER_PROCESS = 20

NODE_DRAINING = 3
NODE_DEAD = 4
ENGINE_READY = 1
ENGINE_DRAINING = 2


class HollowProcess:
    """One process of hollow nodes, commanded over its standard input."""

    def __init__(self, program, first_port, first_index, count, seeds, key_file, log_path):
        self.count = count
        self.addresses = [f"{HOST}:{first_port + i}" for i in range(count)]
        log = open(log_path, "ab")
        self.process = subprocess.Popen(
            [
                program,
                "--first-port",
                str(first_port),
                "--count",
                str(count),
                "--first-index",
                str(first_index),
                "--seeds",
                ",".join(seeds),
                "--fleet-key-file",
                key_file,
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
        )
        log.close()

    def command(self, line):
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()
        answer = self.process.stdout.readline()
        if not answer:
            raise RuntimeError(f"hollow process {self.process.pid} ended")
        return json.loads(answer)

    def stop(self):
        self.process.stdin.close()
        self.process.wait(30)


class HollowFleet:
    """All hollow processes of a run."""

    def __init__(self, fleet, nodes, first_port, per_process=NODES_PER_PROCESS):
        self.processes = []
        self.count = nodes
        program = os.path.join(fleet.build, "bench/scale/shedshed-hollow")
        seeds = [node.internal for node in fleet.stores]
        key_file = os.path.join(fleet.folder, "fleet.key")
        for first in range(0, nodes, per_process):
            log = os.path.join(fleet.folder, f"hollow-{first}.log")
            self.processes.append(
                HollowProcess(
                    program,
                    first_port + first,
                    first,
                    min(per_process, nodes - first),
                    seeds,
                    key_file,
                    log,
                )
            )

    def command(self, line):
        """Sends the line to all processes at once and returns their answers."""
        answers = [None] * len(self.processes)

        def ask(i):
            answers[i] = self.processes[i].command(line)

        threads = [threading.Thread(target=ask, args=(i,)) for i in range(len(self.processes))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if None in answers:
            raise RuntimeError("a hollow process ended")
        return answers

    def observed(self):
        """What each live node has noticed."""
        return [node for answer in self.command("observed") for node in answer]

    def pids(self):
        return [hollow.process.pid for hollow in self.processes]

    def stop(self):
        for hollow in self.processes:
            hollow.stop()
