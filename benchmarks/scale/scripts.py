"""The load and the faults during a measurement. Each script ends with all members running and no faults.

`ordinary` has the rate of 110 failures and 4,800 restarts a day, scaled to the fleet's size, at least one of
each; `release` has the restarts of a day within ten minutes. A failed member stops without notice and starts
again with empty memory at the end. Scripts fail and restart stub members only, except for `zone`, `cell` and
`restart`, which take real backends too.
"""

import itertools
import random
import time
from collections.abc import Callable, Sequence

from benchmarks.scale import figures
from benchmarks.scale.record import Recorder, log_events
from crowwing.emulator.fleet import member_access
from crowwing.emulator.fleet.mixed_fleet import MixedFleet
from crowwing.emulator.fleet.topology import ZONES

REFERENCE_SIZE = 5200  # members of the fleet that the rates per day refer to
FAILURES_PER_DAY, RESTARTS_PER_DAY, CHANGES_PER_DAY = 110, 4800, 3400
DAY_S, RELEASE_S = 86_400.0, 600.0
RACK_SIZE, BURST_SIZE = 40, 50
DOWN_S = 3.0  # down time of a restarted member
REAL_POLL_S = 0.25
STABLE_S = 5.0  # views have to stay correct for this long


class Run:
    """One fleet, on which scripts run in turn."""

    def __init__(
        self, rig: MixedFleet, recorder: Recorder, span_s: float, partition_s: float, timeout_s: float
    ) -> None:
        """`span_s`: minimum of a script; `partition_s`: of a partition; `timeout_s`: for end conditions."""
        self.rig, self.recorder, self.span_s, self.partition_s, self.timeout_s = (
            rig,
            recorder,
            span_s,
            partition_s,
            timeout_s,
        )
        self.rng = random.Random(f"{rig.seed}/scripts")
        self.size = len(rig.all_names)
        self.key_numbers = itertools.count()

    def restart_actions(self, span_s: float, within_s: float) -> list:
        """Restarts evenly over `span_s`, at the rate of a day's restarts within `within_s`."""
        count = max(1, round(RESTARTS_PER_DAY * self.size / REFERENCE_SIZE * span_s / within_s))
        selected = self.rng.sample(self.rig.stubs, min(count, len(self.rig.stubs)))
        return [
            (
                span_s * n / len(selected),
                lambda name=name: self.rig.tell("restart", names=[name], down_s=DOWN_S),
            )
            for n, name in enumerate(selected)
        ]

    def views_correct(self, gone: Sequence[str] = ()) -> bool:
        views = self.rig.tell("views", gone=list(gone))
        self.wrong_view_count = sum(one["wrong"] for one in views)
        self.checked_at = max((one["at"] for one in views), default=0)
        return all(one["right"] == one["on"] for one in views)

    def wait_for_recovery(self, label: str, begin_us: int) -> dict:
        """Waits for all views to be correct and stay so; s since `begin_us`, None after the time-out."""
        correct_since: int | None = None

        def poll() -> bool:
            nonlocal correct_since
            if not self.views_correct():
                correct_since = None
            elif correct_since is None:
                correct_since = self.checked_at
            return correct_since is not None and self.checked_at - correct_since >= STABLE_S * 1e6

        samples = self.recorder.record(label, 1.0, (), poll, self.timeout_s, max(0.5, self.size / 1000))
        elapsed = None if correct_since is None else round((correct_since - begin_us) / 1e6, 2)
        return {"views_right_s": elapsed, "wrong_views": self.wrong_view_count, "samples": samples}


def now_us() -> int:
    return time.monotonic_ns() // 1000


def events(samples: Sequence[dict]) -> dict:
    first, last = samples[0]["hollow"]["events"], samples[-1]["hollow"]["events"]
    return {name: last[name] - first.get(name, 0) for name in last if last[name] != first.get(name, 0)}


def result(samples: list[dict], at_rest: bool = False, **found: object) -> dict:
    elapsed = [ms for one in samples[1:] for ms in one["hollow"]["took_ms"]]
    if elapsed:
        found["hollow_not_ready_ms"] = figures.summarize(elapsed)
    found["hollow_events"] = events(samples)
    found["hollow_ready_least"] = min(one["hollow"]["ready"] for one in samples)
    return figures.summarize_phase(samples, at_rest) | {"found": found}


def rest(run: Run) -> dict:
    return result(run.recorder.record("rest", run.span_s), at_rest=True)


def ordinary(run: Run) -> dict:
    """Failures and restarts at the rate of an ordinary day."""
    actions = run.restart_actions(run.span_s, DAY_S)
    failures = max(1, round(FAILURES_PER_DAY * run.size / REFERENCE_SIZE * run.span_s / DAY_S))
    gone = run.rng.sample(run.rig.stubs, failures)
    actions.append((0.0, lambda: run.rig.tell("off", names=gone)))
    actions.append((run.span_s, lambda: run.rig.tell("on", names=gone)))
    restarts = len(actions) - 2
    samples = run.recorder.record("ordinary", run.span_s + 10, actions)
    run.rig.tell("forget")
    return result(samples, restarts=restarts, failures=failures)


def release(run: Run) -> dict:
    actions = run.restart_actions(run.span_s, RELEASE_S)
    samples = run.recorder.record("release", run.span_s + 10, actions)
    recovery = run.wait_for_recovery("release, back", now_us())
    samples += recovery.pop("samples")[1:]
    return result(samples, restarts=len(actions), **recovery)


def rack(run: Run) -> dict:
    """A rack switch fails: 40 members of one zone at once (at most half of it), which then return."""
    names = run.rig.in_zone(f"{next(iter(ZONES))}a")
    stubs = [name for name in names if name in run.rig.stub_addresses]
    return _remove_and_restore(run, "rack", stubs[: min(RACK_SIZE, max(1, len(names) // 2))], [])


def zone(run: Run) -> dict:
    """All members of one zone fail, real backends too, and return with empty memory."""
    names = run.rig.in_zone(f"{next(iter(ZONES))}b")
    real = [name for name in names if name in run.rig.fleet_addresses]
    return _remove_and_restore(run, "zone", names, real)


def _remove_and_restore(run: Run, label: str, names: list[str], real: list[str]) -> dict:
    rig = run.rig
    began, begin = now_us(), time.time_ns() // 1000
    rig.tell("off", names=names)
    for name in real:
        rig.kill(name)
    groups = member_access.cells(rig.all_names, rig.layout)
    cell = {name: group for group in groups for name in group}
    failed = set(names)
    observers = {name: [one for one in cell[name] if one not in failed] for name in names}
    watchers = observers if len(groups) > 1 else {}  # with one group, every member is an observer
    lost_cells = member_access.dead_cells(rig.layout, failed)
    others = len([name for name in rig.stubs if name not in failed])
    detected: dict[str, int] = {}
    detected_cells: dict[str, int] = {}

    def poll() -> bool:
        seen, real_detections = rig.tell("seen", of=watchers), _real_detections(run, begin, failed)
        for name in names:
            counts = [one["deaths_of" if watchers else "deaths"][name] for one in seen]
            counts.append((len(real_detections[name]), max(real_detections[name].values(), default=0)))
            if name not in detected and sum(count for count, _ in counts) >= len(observers[name]):
                detected[name] = max([began, *(at for _, at in counts)])
        for cell in lost_cells:
            counts = [one["cells"][cell] for one in seen]
            if cell not in detected_cells and sum(count for count, _ in counts) >= others:
                detected_cells[cell] = max(at for _, at in counts)
        return len(detected) == len(names) and len(detected_cells) == len(lost_cells)

    samples = run.recorder.record(label, run.span_s, (), poll, run.timeout_s, max(1.0, run.size / 500))
    observed = {name: at for name, at in detected.items() if observers[name]}
    back_at = now_us()
    rig.tell("on", names=names)
    for name in real:
        rig.launch(name)
    rig.tell("forget")
    recovery = run.wait_for_recovery(f"{label}, back", back_at)
    samples += recovery.pop("samples")[1:]
    return result(
        samples, gone=len(names), real_gone=len(real), known=len(observed),
        known_s=seconds_since(began, observed),
        to_be_known=sum(len(one) > 0 for one in observers.values()), dead_cells=len(lost_cells),
        dead_cells_known=len(detected_cells), dead_cells_known_s=seconds_since(began, detected_cells),
        **recovery,
    )  # fmt: skip


def _real_detections(run: Run, begin: int, failed: set[str]) -> dict[str, dict[str, int]]:
    """For each member in `failed`, the real backends that logged it as dead or left since `begin` (Unix µs).

    Times are on the clock of `now_us`."""
    shift = now_us() - time.time_ns() // 1000
    seen: dict[str, dict[str, int]] = {name: {} for name in failed}
    for line in log_events(run.rig.folder, run.rig.names, begin, "member"):
        if line["name"] in failed and line["state"] in ("dead", "left") and line["backend"] not in failed:
            seen[line["name"]].setdefault(line["backend"], line["at"] + shift)
    return seen


def seconds_since(begin_us: int, times_us: dict[str, int]) -> dict | None:
    """Summary in seconds; None if there are no times."""
    return figures.summarize([(at - begin_us) / 1e6 for at in times_us.values()]) if times_us else None


def cell(run: Run) -> dict:
    """All members of the cell with the fewest real backends fail and return; skipped in a flat fleet."""
    rig, real = run.rig, set(run.rig.names)
    if rig.layout is None:
        return result(run.recorder.record("no cell to lose", 1.0), skipped=True)
    groups = member_access.cells(rig.all_names, rig.layout)
    names = min(groups, key=lambda group: (len(real & set(group)), len(group)))
    return _remove_and_restore(run, "cell", names, [name for name in names if name in real])


def regions(run: Run) -> dict:
    """Partitions all regions from each other for `partition_s`."""
    rig, begin = run.rig, time.time_ns() // 1000
    rig.partition(list(itertools.combinations(ZONES, 2)))
    samples = run.recorder.record("regions cut", run.partition_s)
    ready_partitioned = min(one["hollow"]["ready"] for one in samples)
    at = now_us()
    rig.heal()
    recovery = run.wait_for_recovery("regions healed", at)
    samples += recovery.pop("samples")[1:]
    # Members that leave the list because of the heal have left by the end of this span.
    after = run.recorder.record("regions, after", 20.0)
    samples += after[1:]
    left = log_events(rig.folder, rig.names, begin, "catching_up")
    ready = min(one["hollow"]["ready"] for one in samples)
    return result(
        samples, cut_s=run.partition_s, ready_least_cut=ready_partitioned,
        left_the_list=samples[0]["hollow"]["on"] - ready,
        real_left_the_list=len({line["backend"] for line in left}), **recovery,
    )  # fmt: skip


def changes(run: Run) -> dict:
    """Three changes at the rate of a day, then 50 at once, each put at a random stub member; then three put
    at real backends by an operator's command, acknowledged once enough others hold them."""
    rig, put_at, complete_at = run.rig, {}, {}
    real_holders: dict[str, dict[str, int]] = {name: {} for name in rig.names}

    def put(count: int) -> None:
        keys = [f"said/scale-{next(run.key_numbers)}" for _ in range(count)]
        rig.tell("watch", keys=keys)
        at = rig.put([(run.rng.choice(rig.stubs), key, {"set": "x" * 80}) for key in keys])
        put_at.update(dict.fromkeys(keys, at))

    def poll() -> bool:
        for key, (count, at) in _watched_keys(rig).items():
            if count == len(rig.stubs) and key not in complete_at:
                complete_at[key] = at
        for name, seen in real_holders.items():
            while waits := [key for key in put_at if key not in seen]:
                page = rig.ask(name, 0.5, k="state", prefix=waits[0])
                if page is None or not page["rows"]:
                    break
                seen[waits[0]] = now_us()
        everyone = all(len(seen) == len(put_at) for seen in real_holders.values())
        return bool(put_at) and len(complete_at) == len(put_at) and everyone

    every_s = DAY_S / CHANGES_PER_DAY
    actions: list = [(1 + n * every_s, lambda: put(1)) for n in range(3)]
    actions.append((1 + 3 * every_s, lambda: put(BURST_SIZE)))
    samples = run.recorder.record("changes", actions[-1][0] + 5, actions, poll, run.timeout_s, REAL_POLL_S)
    elapsed = {
        key: max([complete_at[key], *(seen.get(key, 0) for seen in real_holders.values())])
        for key in complete_at
    }
    elapsed = {key: (at - put_at[key]) / 1e6 for key, at in elapsed.items()}
    first = [elapsed[key] for key in list(put_at)[:3] if key in elapsed]
    burst = [elapsed[key] for key in list(put_at)[3:] if key in elapsed]
    missing = len(put_at) - len(complete_at) + sum(len(put_at) - len(seen) for seen in real_holders.values())
    rig.tell("forget")
    return result(
        samples, put=len(put_at), not_held=missing, one_s=figures.summarize(first) if first else None,
        burst_s=figures.summarize(burst) if burst else None, acked=[_acknowledged_put(run) for _ in range(3)],
    )  # fmt: skip


def _watched_keys(rig: MixedFleet) -> dict[str, tuple[int, int]]:
    """For each watched key, how many stub members hold it, and when the last one received it."""
    sums: dict[str, tuple[int, int]] = {}
    for one in rig.tell("seen"):
        for key, (count, at) in one["keys"].items():
            before = sums.get(key, (0, 0))
            sums[key] = before[0] + count, max(before[1], at)
    return sums


def _acknowledged_put(run: Run) -> dict:
    name, started_at = run.rng.choice(run.rig.names), time.monotonic()
    response = run.rig.ask(
        name, 11, k="put", key=f"said/scale-{next(run.key_numbers)}", value="x" * 80, wait_ms=10_000
    )
    elapsed = time.monotonic() - started_at
    return {"took_s": round(elapsed, 3)} | {
        key: (response or {}).get(key) for key in ("acked", "held", "why")
    }


def restart(run: Run) -> dict:
    """Kills and restarts three real backends, one after the other, with all others reachable."""
    found, samples = [], []
    for name in run.rng.sample(run.rig.names, min(3, len(run.rig.names))):
        before = run.recorder.sample(by_peer=True)
        started_us = time.time_ns() // 1000
        run.rig.kill(name)
        run.rig.launch(name)
        samples += run.recorder.record(f"restart of {name}", 20.0)
        after = run.recorder.sample(by_peer=True)
        asked = {
            whom: count - before["whom"].get(name, {}).get(whom, 0)
            for whom, count in after["whom"].get(name, {}).items()
        }
        started_events = log_events(run.rig.folder, [name], started_us, "started")
        caught_up_events = log_events(run.rig.folder, [name], started_us, "caught_up")
        counts = after["real"][name]["counts"] or {}
        found.append(
            {
                "backend": name,
                "asked_hollow": sum(count > 0 for count in asked.values()),
                "asked": sorted(whom for whom, count in asked.items() if count > 0)[:20],
                "attempts": counts.get("fetches"),
                "took_ms": caught_up_events[0]["took_ms"] if caught_up_events else None,
                "whole": caught_up_events[0]["whole"] if caught_up_events else None,
                "start_s": round((started_events[0]["at"] - started_us) / 1e6, 3) if started_events else None,
                "ready_s": round((caught_up_events[0]["at"] - started_us) / 1e6, 3)
                if caught_up_events
                else None,
            }
        )
    return result(samples, restarted=found)


SCRIPTS: dict[str, Callable[[Run], dict]] = {
    one.__name__: one for one in (rest, ordinary, release, rack, cell, zone, regions, changes, restart)
}
