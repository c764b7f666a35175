"""Results of the experiments: JSON files, printed ratios and plots by gnuplot."""

import json
import os
import shutil
import subprocess

from bench_fleet import ROOT

RESULTS = os.path.join(ROOT, "bench", "results")
NOTE = (
    "Measured on a shared, busy machine of 8 cores with all processes on loopback; only the "
    "ratios of the paired runs of one file carry over to other machines."
)


def ratio(value, baseline):
    return round(value / baseline, 2) if baseline else None


def median_in(record, begin_s, end_s, name="first_token_p50_ms"):
    """Median of a timeline's values with answers, by arrival from begin_s to end_s."""
    values = sorted(
        entry[name]
        for entry in record["timeline"]
        if begin_s <= entry["at_s"] < end_s and entry[name] > 0
    )
    return values[len(values) // 2] if values else 0


def total_in(record, begin_s, end_s, name):
    return sum(entry[name] for entry in record["timeline"] if begin_s <= entry["at_s"] < end_s)


def save(name, result):
    os.makedirs(RESULTS, exist_ok=True)
    result = dict({"experiment": name, "note": NOTE}, **result)
    path = os.path.join(RESULTS, name + ".json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(result, file, indent=1, sort_keys=False)
        file.write("\n")
    print(json.dumps(result.get("summary", {}), indent=1))


def plot(name, title, series, y_label="first token, ms (median of half a second)", log=True):
    """Draws lines; `series` maps a label to a list of (x, y)."""
    if shutil.which("gnuplot") is None:
        print("gnuplot is not installed: no plot")
        return
    path = os.path.join(RESULTS, name + ".svg")
    script = [
        f'set terminal svg size 720,360; set output "{path}"',
        f'set title "{title}"',
        'set xlabel "seconds"',
        f'set ylabel "{y_label}"',
        "set key outside right",
        "set grid",
    ]
    if log:
        script.append("set logscale y")
    for index, points in enumerate(series.values()):
        rows = "\n".join(f"{x} {y}" for x, y in points)
        script.append(f"$s{index} << EOD\n{rows}\nEOD")
    lines = [f'$s{index} with lines title "{label}"' for index, label in enumerate(series)]
    script.append("plot " + ", ".join(lines))
    subprocess.run(["gnuplot"], input="\n".join(script) + "\n", text=True, check=True)


def first_token_line(record):
    return [
        (entry["at_s"], entry["first_token_p50_ms"])
        for entry in record["timeline"]
        if entry["first_token_p50_ms"] > 0
    ]
