"""Processor time, memory and threads of processes, from /proc."""

import os


def _status(pid):
    values = {}
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            name, _, value = line.partition(":")
            values[name] = value.strip()
    return values


def cpu_seconds(pid):
    """User and system time in seconds; of the scheduler's nanoseconds where it keeps them."""
    total = 0
    try:
        for task in os.listdir(f"/proc/{pid}/task"):
            with open(f"/proc/{pid}/task/{task}/schedstat", encoding="utf-8") as file:
                total += int(file.read().split()[0])
        return total / 1e9
    except OSError:
        with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory(pid):
    """Resident kilobytes and number of threads."""
    status = _status(pid)
    return {
        "rss_kb": int(status["VmRSS"].split()[0]),
        "anonymous_kb": int(status.get("RssAnon", "0 kB").split()[0]),
        "threads": int(status["Threads"]),
    }


def files(pid):
    """Number of open files."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def machine_available_kb():
    with open("/proc/meminfo", encoding="utf-8") as file:
        for line in file:
            if line.startswith("MemAvailable"):
                return int(line.split()[1])
    return 0


def machine_total_kb():
    with open("/proc/meminfo", encoding="utf-8") as file:
        return int(file.readline().split()[1])
