#!/usr/bin/env python3
"""Runs every kind of fault and planned operation of the users' benchmark, each kind on a simulated day of its own.

The kind occurs at 0.5 s, at 14 s, at a random time from 17 to 21 s, and at 49 s; the day ends with a closing fault. With --pairs N, runs
N days with two randomly chosen kinds each instead: the first at 0.5 s and from 17 to 21 s, the second at 14 s and 49 s.
Prints one line per day with the rules it broke, then the number of days that broke a rule. CI does not run this script, because it needs
the users' benchmark kit.

Usage: play_kinds.py BENCH SITE [--jobs N] [--seed N] [--only TEXT] [--pairs N]
"""
import argparse
import concurrent.futures
import itertools
import pathlib
import random
import re
import subprocess
import tempfile

# Unplanned faults: (kind, TOML fields of the fault). Planned operations are in PLANNED_KINDS.
FAULT_KINDS = [
    ("burst", 'x = 1.7, for_s = 4.0'),
    ("hot_key", 'share = 0.28, for_s = 5.0'),
    ("hot_tenant", 'x = 7.5, for_s = 6.0'),
    ("retry_abuse", 'x = 3.0, share = 0.3, for_s = 5.0'),
    ("give_up", 'share = 0.2, for_s = 5.0'),
    *[("srv_crash", f'share = 0.2, for_s = 4.0, how = "{how}"') for how in ("", "dark", "gone", "domain")],
    ("srv_slow", 'share = 0.2, x = 5.0, for_s = 6.0'),
    *[("srv_grey", f'share = 0.2, x = 0.45, for_s = 5.0, how = "{how}"') for how in ("errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors all")],
    *[("answer_lost", f'share = 0.5, x = 0.05, for_s = 5.0, how = "{how}"') for how in ("", "reset")],
    *[("garble", f'share = 0.5, x = 0.05, for_s = 5.0, how = "{how}"') for how in ("", "extra", "extra late", "unframed", "early")],
    *[("node_kill", f'share = 0.3, for_s = 3.0, how = "{how}"') for how in ("", "power", "leader race drain", "meet drain")],
    *[("herd_kill", f'share = 0.6, for_s = 2.0, how = "{how}"') for how in ("", "power")],
    ("herd_kill", 'share = 1.0, for_s = 1.5, on = "core", how = "power"'),
    *[("replace_core", f'x = 2.0, how = "{how}"') for how in ("", "leader")],
    *[("kill_leader", f'for_s = 4.0, how = "{how}"') for how in ("kill", "freeze", "power", "cut")],
    *[("clock_step", f'share = 0.4, x = 2400.0, for_s = 6.0, how = "{how}"') for how in ("", "back", "ahead", "leader")],
    *[("core_cut", f'count = 2, for_s = 5.0, how = "{how}"') for how in ("", "one_way", "seeds", "all", "leader race", "split")],
    *[("node_cut", f'share = 0.3, for_s = 6.0, how = "{how}"') for how in ("", "all", "servers", "meet")],
    ("lossy", 'x = 0.05, for_s = 6.0'),
    *[("platform_down", f'for_s = 5.0, how = "{how}"') for how in ("silent", "busy", "reset", "silent lapse", "reset lapse", "nodes many revoke meet drain", "nodes busy", "nodes leader")],
    ("platform_slow", 'x = 60.0, for_s = 5.0'),
    *[("platform_lost", f'x = 0.4, for_s = 5.0, how = "{how}"') for how in ("", "late")],
    *[("platform_compact", f'x = 5.0, for_s = 8.0, how = "{how}"') for how in ("", "drain")],
    *[("srv_cut", f'share = 0.25, for_s = 5.0, how = "{how}"') for how in ("", "fronts", "some", "one_way", "reset")],
    *[("replace_with_reuse", f'share = 0.2, how = "{how}"') for how in ("", "drain", "dark")],
    *[("node_freeze", f'share = 0.3, for_s = 4.0, how = "{how}"') for how in ("", "renewed", "leader")],
    ("node_slow", 'share = 0.3, x = 5.0, for_s = 6.0'),
    *[("after_ack_kill", f'for_s = 3.0, how = "{how}"') for how in ("", "kill", "timed")],
    ("reset_conns", 'share = 0.5, x = 0.5'),
    *[("cloud_down", f'for_s = 6.0, how = "{how}"') for how in ("silent", "busy", "reset")],
    ("cloud_slow", 'x = 50.0, for_s = 6.0'),
    *[("srv_lying_health", f'share = 0.3, for_s = 5.0, how = "{how}"') for how in ("", "errors", "hang", "reset", "bad")],
    ("srv_flap", 'share = 0.3, for_s = 5.0'),
    *[("applied_late", f'x = 0.5, for_s = 6.0, how = "{how}"') for how in ("", "orders", "cloud", "grants", "all")],
    ("give_up", 'share = 0.2, for_s = 5.0, how = "once"'),
    ("srv_cut", 'share = 0.25, for_s = 5.0, how = "reborn"'),
    ("herd_kill", 'share = 1.0, for_s = 1.5, on = "core", how = "taken all"'),
    *[("platform_down", f'share = 0.5, for_s = 6.0, how = "{how}"') for how in ("nodes", "nodes reset revoke", "busy lapse")],
]
PLANNED_KINDS = [
    ("release", 'share = 0.5, x = 1.0, gap_s = 1.0'),
    *[("scale_in", f'share = 0.2, x = 2.5, for_s = 8.0, how = "{how}"') for how in ("", "spot", "reclaim", "reclaim dry")],
    ("scale_out", 'share = 0.3, gap_s = 1.0'),
    *[("roll_term", f'share = 0.6, x = 1.0, gap_s = 1.0, how = "{how}"') for how in ("", "busy")],
    ("roll_term", 'share = 0.2, x = 1.0, gap_s = 1.0, how = "remove"'),
    ("roll_term", 'share = 1.0, x = 3.0, gap_s = 2.0'),
    ("replace_core", 'x = 2.0, how = "planned"'),
    ("hup", 'share = 0.6, gap_s = 2.0'),
    *[("config_change", f'how = "{how}"') for how in ("route", "weights", "timeout", "tenant", "quota", "quota down", "topup", "idle")],
    ("config_storm", 'for_s = 4.0, gap_s = 0.3'),
    ("big_config", 'count = 350'),
    *[("revoke", f'count = 3, gap_s = 0.5, how = "{how}"') for how in ("", "last")],
    ("add_nodes", 'count = 2'),
]
CLOSING_FAULTS = ['{ kind = "power_off_all", down_s = 1.0 }', '{ kind = "kill_all", down_s = 0.9 }', '{ kind = "power_off_all", down_s = 1.0, how = "timed" }']


def toml_entries(occurrences, times):
    return [f"  {{ at = {at}, kind = \"{kind}\", {fields} }}," for (kind, fields), at in zip(occurrences, times)]


def day_toml(name, seed, planned, faults, closing):
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}", f"closing = {closing}", "one = 1.0", "zero = 0.0", "goal = { floor = 0.0 }", "plan = [", *planned, "]", "faults = [", *faults, "]"]
    return "\n".join(lines) + "\n"


def days(arguments):
    rng = random.Random(arguments.seed)
    all_kinds = [(it, True) for it in PLANNED_KINDS] + [(it, False) for it in FAULT_KINDS]
    if arguments.pairs:
        pairs = [(rng.choice(all_kinds), rng.choice(all_kinds)) for _ in range(arguments.pairs)]
    else:
        pairs = [(it, it) for it in all_kinds]
    for index, ((first, is_first_planned), (second, is_second_planned)) in enumerate(pairs):
        name = f"{first[0]} {first[1]}" if not arguments.pairs else f"{first[0]} {first[1]} + {second[0]} {second[1]}"
        if arguments.only and arguments.only not in name:
            continue
        planned, faults = [], []
        for (occurrence, is_planned), at in ((((first, is_first_planned)), 0.5), ((second, is_second_planned), 14.0), ((first, is_first_planned), 17.0 + rng.random() * 4), ((second, is_second_planned), 49.0)):
            (planned if is_planned else faults).extend(toml_entries([occurrence], [round(at, 2)]))
        seed = arguments.seed * 1000 + index
        yield name, seed, day_toml("d", seed, planned, faults, CLOSING_FAULTS[index % len(CLOSING_FAULTS)])


def run_day(arguments, folder, name, seed, text):
    path = pathlib.Path(folder) / f"{seed}.toml"
    path.write_text(text)
    completed = subprocess.run([arguments.bench, "run", arguments.site, str(path), "--seed", str(seed), "--why", f"kind: {name[:120]}"], capture_output=True, text=True, timeout=300)
    row = next((it for it in completed.stdout.splitlines() if it.startswith("d ")), "")
    broken = re.search(r"BROKEN: ([^(]*)", row)
    messages = re.findall(r"^the first that is wrong.*|^short of the gate.*|^rules broken.*", completed.stdout, re.M)
    columns = re.search(r"(-?\d+\.\d+)\s+(-?\d+\.\d+)\s+(\d+\.\d+)\s+(\d+\.\d+)\s+(\d+\.\d+)", row)
    worth = columns.group(2) if columns else "?"
    if "is not open" in completed.stdout + completed.stderr:
        return name, seed, worth, "", ["(not open on this site: not played)"]
    return name, seed, worth, broken.group(1).strip() if broken else ("" if row else "no result: " + (completed.stdout + completed.stderr)[-200:]), messages[:2]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="")
    parser.add_argument("--pairs", type=int, default=0)
    arguments = parser.parse_args()
    broken_count = 0
    played_count = 0
    with tempfile.TemporaryDirectory() as folder, concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        pending = [pool.submit(run_day, arguments, folder, *it) for it in days(arguments)]
        for it in concurrent.futures.as_completed(pending):
            name, seed, worth, broken_rules, messages = it.result()
            played_count += 1 if "not played" not in " ".join(messages) else 0
            if broken_rules:
                broken_count += 1
            print(f"{'BROKEN' if broken_rules else 'kept  '} worth {worth:>7} seed {seed} {name}" + (f": {broken_rules} {' '.join(messages)}" if broken_rules or messages else ""), flush=True)
    print(f"{played_count} days, {broken_count} with a broken rule")


if __name__ == "__main__":
    main()
