#!/usr/bin/env python3
"""Plays days on the users' bench and names the clause of the rule LOST for each try that ended early.

    hack/cut-tries.py --bench BENCH --site SITE.toml --out DIR [--jobs 3] DAY.toml[:SEED]...

A day whose output is in DIR already is not played again. Without SEED, the number at the end of the day's name is
taken, or 1. The exit status is 1 if a rule was broken or a try was ended without an excuse.
"""
import argparse
import collections
import concurrent.futures
import dataclasses
import gzip
import json
import pathlib
import re
import subprocess
import sys

LOG_LINE = re.compile(r"^\s*(-*\d+\.\d+) (\S+) (\{.*\})$")
LATE_MS = 3000  # A request that a leaving instance takes later than this is not excused, whatever its target does.
PLAY_TIMEOUT_S = 600

AT_WORK = "excused: target at work in the last sixth of the grace period"
AT_WORK_NEW = "excused: target at work in the last sixth of the grace period, request sent after SIGTERM"
DEADLINE = "excused: deadline or timeout passed"
BROKE_OFF = "excused: target broke off"


@dataclasses.dataclass(frozen=True)
class Line:
    at: float
    instance: str
    message: str
    fields: dict


@dataclasses.dataclass(frozen=True)
class End:
    """One try that ended early: the way it ended, the clause or reason, and the line that says so."""

    way: str
    clause: str
    line: Line

    def is_finding(self):
        return self.way in ("cut in the answer", "cut, no answer") and not self.clause.startswith("excused")


def read_lines(output):
    lines = []
    for text in output.splitlines():
        match = LOG_LINE.match(text)
        if not match:
            continue
        try:
            entry = json.loads(match[3])
        except json.JSONDecodeError:
            continue
        at = float(match[1].replace("--", ""))
        lines.append(Line(at, match[2], entry.get("message", ""), entry.get("fields", {})))
    return lines


def bench_counts(output):
    """Returns how many tries ended in each way, or None if the day has no result."""
    match = re.search(r"^how tries ended: (.*)", output, re.M)
    if not match:
        return None
    return collections.Counter({way: int(n) for way, n in re.findall(r"(?:^|; )([^;]+?): (\d+)", match[1])})


def stop_clause(fields):
    """Returns the clause that excuses a try that was ended because its instance stops, or why none does."""
    if fields["stop-ms"] < fields["grace-ms"] * 5 / 6:
        return "ended before the last sixth of the grace period"
    if fields["arrived-ms"] > LATE_MS:
        return f"sent later than {LATE_MS} ms after SIGTERM"
    if fields["state"] != "running":
        return f"no target at work: {fields['state']}"
    return AT_WORK_NEW if fields["arrived-ms"] > 0 else AT_WORK


def cut_clause(fields):
    """Returns the clause for a stream that was cut for a reason other than the stop of its instance."""
    if fields["cause"] == "time is up":
        return DEADLINE
    if fields["ended-by"] == "target":
        return BROKE_OFF
    return f"{fields['cause']}, ended by {fields['ended-by'] or 'nothing'}"


def is_own(refusal):
    """Reports whether a refusal is answered 502 or 503."""
    return refusal not in ("unknown", "unauthorised", "forbidden", "too-large", "malformed", "timeout")


def trace(lines):
    """Returns the early ends that the logs tell of."""
    stopped = {l.fields["request"]: l for l in lines if l.message == "request was ended as the instance stops"}
    ends = []
    for l in lines:
        request = l.fields.get("request")
        match l.message:
            case "stream severed":
                stop = stopped.get(request)
                clause = stop_clause(stop.fields) if stop else cut_clause(l.fields)
                ends.append(End("cut in the answer", clause, stop or l))
            case "request was cut by this instance":
                ends.append(End("cut, no answer", "the time to stop is over", l))
            case "refused" if is_own(l.fields["refusal"]):
                status = "503" if l.fields["executed"] == "no" else "502"
                ends.append(End(status, l.fields["cause"], stopped.get(request, l)))
    return ends


def killed(lines):
    """Counts the processes that began again without having stopped."""
    running, count = set(), 0
    for l in lines:
        if l.message == "instance has stopped":
            running.discard(l.instance)
        elif l.message == "starting":
            count += l.instance in running
            running.add(l.instance)
    return count


def play(args, name):
    path, _, seed = name.partition(":")
    day = pathlib.Path(path)
    if not seed:
        digits = re.search(r"\d+$", day.stem)
        seed = digits[0] if digits else "1"
    kept = args.out / f"{day.stem}-{seed}.log.gz"
    if kept.exists():
        return name, gzip.decompress(kept.read_bytes()).decode(errors="replace")
    command = [args.bench, "run", args.site, str(day), "--seed", seed, "--no-cpu", "--jobs", "1", "--log", "all"]
    try:
        done = subprocess.run(command + ["--why", f"tries by clause of LOST, {day.stem}"], capture_output=True, timeout=PLAY_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return name, ""
    output = done.stdout.decode(errors="replace")
    if bench_counts(output):
        kept.write_bytes(gzip.compress(output.encode()))
    return name, output


def report(name, output, totals):
    """Prints what was found on a day, adds its ends to totals, and reports whether the day is sound."""
    counts = bench_counts(output)
    if counts is None:
        print(f"{name}: no result")
        return False
    lines = read_lines(output)
    ends = trace(lines)
    totals["days"] += 1
    for end in ends:
        totals[end.way, re.sub(r"[\w-]*\d[\w-]*", "#", end.clause)] += 1
        if end.is_finding():
            print(f"{name}: {end.way}: {end.clause}: {end.line.at:.3f} s {end.line.instance} {json.dumps(end.line.fields)}")
    # A request that was never read leaves no line, nor does one whose instance was killed.
    kills = killed(lines)
    for way, reason in (("cut, no answer", "no line: not read"), ("cut in the answer", "no line")):
        without_line = counts[way] - sum(end.way == way and end.clause != DEADLINE for end in ends)
        if without_line > 0:
            totals[way, "no line, instances killed" if kills else reason] += without_line
    broken = re.search(r"^rules broken: (.*)", output, re.M)
    if broken:
        print(f"{name}: rules broken: {broken[1]}")
        totals["rules broken", re.sub(r" \d+", "", broken[1])] += 1
    return not broken and not any(end.is_finding() for end in ends)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--out", required=True, type=pathlib.Path)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("days", nargs="+")
    args = parser.parse_args()
    args.out.mkdir(parents=True, exist_ok=True)
    totals, sound = collections.Counter(), True
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for name, output in pool.map(lambda name: play(args, name), args.days):
            sound = report(name, output, totals) and sound
    print(f"{totals.pop('days', 0)} days")
    for (way, clause), n in sorted(totals.items()):
        print(f"{n:8} {way}: {clause}")
    sys.exit(not sound)


if __name__ == "__main__":
    main()
