#!/usr/bin/env python3
"""Runs days of the users' benchmark with several seeds, and prints which costs and failures lower the score ("worth") of each day.

For each day: its worth, the parts of the worth, each price subtracted from it, and the worst moments. With --causes, also the requests that
were not answered in time according to the entry's logs, counted by outcome and route, with the most frequent moments and the id of one
example for `onyxnotch explain`. With --against FILE, the change from a run saved by --save. Parses the benchmark's reports, so the
benchmark's terms occur in this file and are translated to this project's terms. CI does not run this script.

Usage: what_binds.py BENCH SITE [--days A,B] [--seeds N] [--jobs N] [--save FILE] [--against FILE] [--causes] [--why TEXT]
"""
import argparse
import collections
import concurrent.futures
import json
import pathlib
import re
import statistics
import subprocess
import tempfile

# Seeds used in addition to each day's own. The values are arbitrary, but must not change, so that runs can be compared seed by seed.
EXTRA_SEEDS = [1009, 2003, 3001, 4001, 5003, 6007, 7001, 8009, 9001]
# The benchmark's name of each price, and the name printed here.
PRICES = {
    "seconds of servers ordered": "engines",
    "machine-seconds": "instances",
    "processor seconds": "processor",
    "cloud calls": "platform calls",
    "calls to the platform": "platform calls",
    "duties missed": "duties",
    "a duty left undone, mostly": "usage reports",
    "1,000 tokens of shared parts read again": "read again",
    "worth put behind what is less urgent": "put behind",
    "worth given up late, untried": "given up late",
    "worth held to the end or ended falsely, untried": "held",
    "worth refused again": "refused again",
    "worth refused with servers free": "refused, free",
    "worth broken off early": "broken off",
}
MOMENT_SECONDS = 4
SERVED_OUTCOMES = ("answered", "streamed")  # Outcomes in the entry's log that mean a complete answer.
LOG_LINE = re.compile(r"^\s*(-?[\d.]+) (\S+) (\{.*\})$")


def days_of_site(site):
    return re.findall(r'\[\[day\]\]\nname = "([^"]+)"', pathlib.Path(site).read_text())


def run_day(bench, site, day, seed, causes, why):
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [bench, "run", site, day, "--report", str(report)]
        command += ["--seed", str(seed)] if seed else []
        command += ["--log", "all"] if causes else []
        command += ["--why", why] if why else []
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
        if not report.exists():
            raise RuntimeError(f"{day} seed {seed}: no report:\n{completed.stdout[-2000:]}{completed.stderr[-2000:]}")
        result = json.loads(report.read_text())
    return summarize(result), lost_requests(completed.stdout + completed.stderr) if causes else {}


def summarize(report):
    prices = collections.Counter()
    total = sum(part[2] * part[1] for part in report["parts"]) - report["G"]
    for name, _, price in report["prices"]:
        prices[PRICES.get(name, "other")] += price
    kinds = {it["name"]: {key: it[key] for key in ("n", "in_aim", "late", "refused", "failed", "not_owed", "worth")} for it in report["classes"]}
    windows = sorted((it["worth"], it["name"]) for it in report["windows"] if it["n"] - it["not_owed"] > 20)
    return {"worth": report["G"], "served": report["served"], "parts": {part[0]: part[2] for part in report["parts"]}, "prices": dict(prices),
            "price_total": total, "kinds": kinds, "worst_moments": windows[:4], "broken": report["breaks"], "fault": report["fault"], "floor": report["short"]}


def lost_requests(text):
    """Returns the requests that the entry's logs show as unanswered or answered late: 'outcome | route' -> count, one id, count by moment."""
    lost = {}
    for line in text.splitlines():
        match = LOG_LINE.match(line)
        if not match or '"event":"request"' not in line:
            continue
        try:
            entry = json.loads(match.group(3))
        except json.JSONDecodeError:
            print(f"   a line that is no JSON was passed over: {line[:160]}")
            continue
        served = entry["outcome"] in SERVED_OUTCOMES
        late = served and (entry["first_event_ms"] if entry["first_event_ms"] >= 0 else entry["ms"]) > entry["objective_ms"]
        if served and not late:
            continue
        key = ("late" if late else entry["outcome"]) + " | " + (entry["route"] or "-")
        row = lost.setdefault(key, {"count": 0, "example": entry["request_id"], "moments": collections.Counter()})
        row["count"] += 1
        row["moments"][int(float(match.group(1)) // MOMENT_SECONDS * MOMENT_SECONDS)] += 1
    return lost


def mean(values):
    return statistics.fmean(values) if values else 0.0


def worth_changes(runs, baseline):
    """Returns the change of worth for each seed. Both lists are in the order of the seeds; seeds beyond the shorter list are ignored."""
    return [now["worth"] - then["worth"] for now, then in zip(runs, baseline or [])]


def print_day(day, runs, baseline):
    worths = [it["worth"] for it in runs]
    change = f", change {mean(worth_changes(runs, baseline)):+.3f}" if baseline else ""
    print(f"{day}: worth {mean(worths):.3f} ({min(worths):.3f} to {max(worths):.3f}, {len(worths)} seeds{change}), served {mean([it['served'] for it in runs]):.3f}")
    print("   parts   " + ", ".join(f"{name} {mean([it['parts'][name] for it in runs]):.3f}" for name in runs[0]["parts"]))
    names = sorted({name for it in runs for name in it["prices"]}, key=lambda name: -mean([it["prices"].get(name, 0) for it in runs]))
    price_means = [(name, mean([it["prices"].get(name, 0) for it in runs])) for name in names]
    print(f"   prices  {mean([it['price_total'] for it in runs]):.3f}: " + ", ".join(f"{name} {price:.3f}" for name, price in price_means if price >= 0.001))
    for kind in runs[0]["kinds"]:
        rows = [it["kinds"][kind] for it in runs if kind in it["kinds"]]
        owed = sum(it["n"] - it["not_owed"] for it in rows) or 1
        parts = ", ".join(f"{key.replace('_', ' ')} {sum(it[key] for it in rows) / owed:.3f}" for key in ("in_aim", "late", "refused", "failed"))
        print(f"   kind    {kind}: {parts}")
    print("   moments " + ", ".join(f"{name} s {worth:.2f}" for worth, name in runs[0]["worst_moments"]))
    for it in runs:
        if it["broken"] or it["fault"] or it["floor"]:
            print(f"   BROKEN  {it['broken']} {it['fault'] or ''} {it['floor']}")


def print_causes(lost):
    for key, row in sorted(lost.items(), key=lambda it: -it[1]["count"])[:14]:
        moments = ", ".join(f"{second} s: {count}" for second, count in row["moments"].most_common(4))
        print(f"   lost    {key}: {row['count']} (for example {row['example']}) {moments}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--save")
    parser.add_argument("--against")
    parser.add_argument("--causes", action="store_true")
    parser.add_argument("--why", default="")
    options = parser.parse_args()
    days = options.days.split(",") if options.days else days_of_site(options.site)
    subprocess.run([options.bench, "build"], check=True, capture_output=True)
    baseline = json.loads(pathlib.Path(options.against).read_text()) if options.against else {}
    plays = [(day, seed) for day in days for seed in [None, *EXTRA_SEEDS][: options.seeds]]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda it: run_day(options.bench, options.site, *it, options.causes, options.why), plays))
    runs = {day: [result[0] for (played, _), result in zip(plays, results) if played == day] for day in days}
    for day in days:
        print_day(day, runs[day], baseline.get(day))
        if options.causes:
            print_causes(next(result[1] for (played, _), result in zip(plays, results) if played == day))
    trouble_days = [day for day in days if not day.startswith("quiet")]
    if trouble_days:
        means = mean([it["worth"] for day in trouble_days for it in runs[day]])
        paired_changes = [it for day in trouble_days for it in worth_changes(runs[day], baseline.get(day))]
        print(f"days with trouble: mean worth {means:.3f}" + (f", change {mean(paired_changes):+.3f} over {len(paired_changes)} plays" if paired_changes else ""))
    if options.save:
        pathlib.Path(options.save).write_text(json.dumps(runs, indent=1))


if __name__ == "__main__":
    main()
