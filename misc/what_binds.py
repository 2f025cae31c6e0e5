#!/usr/bin/env python3
"""Tells what binds: plays days of the users' bench on several seeds, and prints where the worth of requests is lost.

For each day: worth, its parts, each price, the worst moments, and with --causes the requests that were not answered in time, by
outcome, route and moment, as the entry's own logs tell them, each with the id of one that `onyxnotch explain` can follow. With
--against, the change to a saved run. Boundary tool: the words of the bench stand here and are turned into ours. CI does not run it.

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

# Seeds beside each day's own: any numbers will do, the same ones in every round.
EXTRA_SEEDS = [1009, 2003, 3001, 4001, 5003, 6007, 7001, 8009, 9001]
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
SERVED = ("answered", "streamed")  # Outcomes of whole answers in the entry's log.
LOG_LINE = re.compile(r"^\s*(-?[\d.]+) (\S+) (\{.*\})$")


def standard_days(site):
    return re.findall(r'\[\[day\]\]\nname = "([^"]+)"', pathlib.Path(site).read_text())


def play(bench, site, day, seed, causes, why):
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [bench, "run", site, day, "--report", str(report)]
        command += ["--seed", str(seed)] if seed else []
        command += ["--log", "all"] if causes else []
        command += ["--why", why] if why else []
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if not report.exists():
            raise RuntimeError(f"{day} seed {seed}: no report:\n{done.stdout[-2000:]}{done.stderr[-2000:]}")
        result = json.loads(report.read_text())
    return summarize(result), lost_requests(done.stdout + done.stderr) if causes else {}


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
    """Requests that the entry's logs show as not answered, or answered late: outcome, route -> count, one id, moments."""
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
        served = entry["outcome"] in SERVED
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


def changes(runs, before):
    """The change of worth, seed by seed: both lists are in the order of the seeds, and a seed that only one has is left out."""
    return [now["worth"] - then["worth"] for now, then in zip(runs, before or [])]


def print_day(day, runs, before):
    worths = [it["worth"] for it in runs]
    change = f", change {mean(changes(runs, before)):+.3f}" if before else ""
    print(f"{day}: worth {mean(worths):.3f} ({min(worths):.3f} to {max(worths):.3f}, {len(worths)} seeds{change}), served {mean([it['served'] for it in runs]):.3f}")
    print("   parts   " + ", ".join(f"{name} {mean([it['parts'][name] for it in runs]):.3f}" for name in runs[0]["parts"]))
    names = sorted({name for it in runs for name in it["prices"]}, key=lambda name: -mean([it["prices"].get(name, 0) for it in runs]))
    shown = [(name, mean([it["prices"].get(name, 0) for it in runs])) for name in names]
    print(f"   prices  {mean([it['price_total'] for it in runs]):.3f}: " + ", ".join(f"{name} {price:.3f}" for name, price in shown if price >= 0.001))
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
    days = options.days.split(",") if options.days else standard_days(options.site)
    subprocess.run([options.bench, "build"], check=True, capture_output=True)
    before = json.loads(pathlib.Path(options.against).read_text()) if options.against else {}
    plays = [(day, seed) for day in days for seed in [None, *EXTRA_SEEDS][: options.seeds]]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda it: play(options.bench, options.site, *it, options.causes, options.why), plays))
    runs = {day: [result[0] for (played, _), result in zip(plays, results) if played == day] for day in days}
    for day in days:
        print_day(day, runs[day], before.get(day))
        if options.causes:
            print_causes(next(result[1] for (played, _), result in zip(plays, results) if played == day))
    troubled = [day for day in days if not day.startswith("quiet")]
    if troubled:
        means = mean([it["worth"] for day in troubled for it in runs[day]])
        paired = [it for day in troubled for it in changes(runs[day], before.get(day))]
        print(f"days with trouble: mean worth {means:.3f}" + (f", change {mean(paired):+.3f} over {len(paired)} plays" if paired else ""))
    if options.save:
        pathlib.Path(options.save).write_text(json.dumps(runs, indent=1))


if __name__ == "__main__":
    main()
