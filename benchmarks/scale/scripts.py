"""What happens to the fleet while it is measured. Each script ends with everything on and healed.

`day` is 110 failures and 4,800 restarts a day at that pace for the fleet's size, at least one of each;
`release` the restarts of a day in ten minutes. A failure is a member gone without a word and on again, with
an empty memory, at the end. Only hollow members are restarted, but for the zone, whose real backends go with
it.
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

LETTER = 5200  # members that the day's figures are for
FAILURES, RESTARTS, CHANGES = 110, 4800, 3400  # a day
DAY_S, RELEASE_S = 86_400.0, 600.0
RACK, BURST = 40, 50
DOWN_S = 3.0  # between a restarted member's end and its next start
REAL_LOOK_S = 0.25
STAYS_S = 5.0  # that views are right before that counts


class Run:
    """One fleet, on which scripts are played in turn."""

    def __init__(
        self, rig: MixedFleet, recorder: Recorder, span_s: float, cut_s: float, most_s: float
    ) -> None:
        """`span_s` of each script at least; `cut_s` that regions are cut; `most_s` to wait for an end."""
        self.rig, self.recorder, self.span_s, self.cut_s, self.most_s = rig, recorder, span_s, cut_s, most_s
        self.chance = random.Random(f"{rig.seed}/scripts")
        self.size = len(rig.all_names)
        self.keys = itertools.count()

    def restarts(self, span_s: float, within_s: float) -> list:
        """Moments of restarts, evenly over `span_s`, at the pace of a day's within `within_s`."""
        count = max(1, round(RESTARTS * self.size / LETTER * span_s / within_s))
        few = self.chance.sample(self.rig.stubs, min(count, len(self.rig.stubs)))
        return [
            (span_s * n / len(few), lambda name=name: self.rig.tell("restart", names=[name], down_s=DOWN_S))
            for n, name in enumerate(few)
        ]

    def views_right(self, gone: Sequence[str] = ()) -> bool:
        told = self.rig.tell("views", gone=list(gone))
        self.wrong = sum(one["wrong"] for one in told)
        self.right_at = max((one["at"] for one in told), default=0)
        return all(one["right"] == one["on"] for one in told)

    def back(self, label: str, begin_us: int) -> dict:
        """Waits for all views to be right and to stay so; s since `begin_us`, None where it did not come."""
        right_since: int | None = None

        def look() -> bool:
            nonlocal right_since
            if not self.views_right():
                right_since = None
            elif right_since is None:
                right_since = self.right_at
            return right_since is not None and self.right_at - right_since >= STAYS_S * 1e6

        samples = self.recorder.span(label, 1.0, (), look, self.most_s, max(0.5, self.size / 1000))
        took = None if right_since is None else round((right_since - begin_us) / 1e6, 2)
        return {"views_right_s": took, "wrong_views": self.wrong, "samples": samples}


def now_us() -> int:
    return time.monotonic_ns() // 1000


def events(samples: Sequence[dict]) -> dict:
    first, last = samples[0]["hollow"]["events"], samples[-1]["hollow"]["events"]
    return {name: last[name] - first.get(name, 0) for name in last if last[name] != first.get(name, 0)}


def result(samples: list[dict], at_rest: bool = False, **found: object) -> dict:
    took = [ms for one in samples[1:] for ms in one["hollow"]["took_ms"]]
    if took:
        found["hollow_not_ready_ms"] = figures.summed(took)
    found["hollow_events"] = events(samples)
    found["hollow_ready_least"] = min(one["hollow"]["ready"] for one in samples)
    return figures.phase(samples, at_rest) | {"found": found}


def rest(run: Run) -> dict:
    return result(run.recorder.span("rest", run.span_s), at_rest=True)


def ordinary(run: Run) -> dict:
    """A day's pace."""
    moments = run.restarts(run.span_s, DAY_S)
    failures = max(1, round(FAILURES * run.size / LETTER * run.span_s / DAY_S))
    gone = run.chance.sample(run.rig.stubs, failures)
    moments.append((0.0, lambda: run.rig.tell("off", names=gone)))
    moments.append((run.span_s, lambda: run.rig.tell("on", names=gone)))
    restarts = len(moments) - 2
    samples = run.recorder.span("ordinary", run.span_s + 10, moments)
    run.rig.tell("forget")
    return result(samples, restarts=restarts, failures=failures)


def release(run: Run) -> dict:
    moments = run.restarts(run.span_s, RELEASE_S)
    samples = run.recorder.span("release", run.span_s + 10, moments)
    back = run.back("release, back", now_us())
    samples += back.pop("samples")[1:]
    return result(samples, restarts=len(moments), **back)


def rack(run: Run) -> dict:
    """A switch: 40 at once of one zone (at most half of it), and back."""
    names = run.rig.in_zone(f"{next(iter(ZONES))}a")
    hollow = [name for name in names if name in run.rig.stub_addresses]
    return _gone(run, "rack", hollow[: min(RACK, max(1, len(names) // 2))], [])


def zone(run: Run) -> dict:
    """All of one zone, its real backends too, and back with empty memories."""
    names = run.rig.in_zone(f"{next(iter(ZONES))}b")
    real = [name for name in names if name in run.rig.fleet_addresses]
    return _gone(run, "zone", names, real)


def _gone(run: Run, label: str, names: list[str], real: list[str]) -> dict:
    rig = run.rig
    began, begin = now_us(), time.time_ns() // 1000
    rig.tell("off", names=names)
    for name in real:
        rig.kill(name)
    groups = member_access.cells(rig.all_names, rig.layout)
    cell = {name: group for group in groups for name in group}
    off = set(names)
    few = {name: [one for one in cell[name] if one not in off] for name in names}
    of = few if len(groups) > 1 else {}  # of one group, whoever saw it is one of those
    dead = member_access.dead_cells(rig.layout, off)
    others = len([name for name in rig.stubs if name not in off])
    known: dict[str, int] = {}
    cells_known: dict[str, int] = {}

    def look() -> bool:
        seen, real_seen = rig.tell("seen", of=of), _real_seen(run, begin, off)
        for name in names:
            counts = [one["deaths_of" if of else "deaths"][name] for one in seen]
            counts.append((len(real_seen[name]), max(real_seen[name].values(), default=0)))
            if name not in known and sum(count for count, _ in counts) >= len(few[name]):
                known[name] = max([began, *(at for _, at in counts)])
        for cell in dead:
            counts = [one["cells"][cell] for one in seen]
            if cell not in cells_known and sum(count for count, _ in counts) >= others:
                cells_known[cell] = max(at for _, at in counts)
        return len(known) == len(names) and len(cells_known) == len(dead)

    samples = run.recorder.span(label, run.span_s, (), look, run.most_s, max(1.0, run.size / 500))
    watched = {name: at for name, at in known.items() if few[name]}
    back_at = now_us()
    rig.tell("on", names=names)
    for name in real:
        rig.launch(name)
    rig.tell("forget")
    back = run.back(f"{label}, back", back_at)
    samples += back.pop("samples")[1:]
    return result(
        samples, gone=len(names), real_gone=len(real), known=len(watched), known_s=since(began, watched),
        to_be_known=sum(len(one) > 0 for one in few.values()), dead_cells=len(dead),
        dead_cells_known=len(cells_known), dead_cells_known_s=since(began, cells_known), **back,
    )  # fmt: skip


def _real_seen(run: Run, begin: int, off: set[str]) -> dict[str, dict[str, int]]:
    """Of each that is off: the real backends that said so since `begin` (Unix µs), and when, on `now_us`."""
    shift = now_us() - time.time_ns() // 1000
    seen: dict[str, dict[str, int]] = {name: {} for name in off}
    for line in log_events(run.rig.folder, run.rig.names, begin, "member"):
        if line["name"] in off and line["state"] in ("dead", "left") and line["backend"] not in off:
            seen[line["name"]].setdefault(line["backend"], line["at"] + shift)
    return seen


def since(begin_us: int, moments: dict[str, int]) -> dict | None:
    """Seconds; None where there is nothing."""
    return figures.summed([(at - begin_us) / 1e6 for at in moments.values()]) if moments else None


def cell(run: Run) -> dict:
    """All of one cell, that with the fewest real backends, and back; a flat fleet has none to lose."""
    rig, real = run.rig, set(run.rig.names)
    if rig.layout is None:
        return result(run.recorder.span("no cell to lose", 1.0), skipped=True)
    groups = member_access.cells(rig.all_names, rig.layout)
    names = min(groups, key=lambda group: (len(real & set(group)), len(group)))
    return _gone(run, "cell", names, [name for name in names if name in real])


def regions(run: Run) -> dict:
    """Every region alone for `cut_s`, and back."""
    rig, begin = run.rig, time.time_ns() // 1000
    rig.partition(list(itertools.combinations(ZONES, 2)))
    samples = run.recorder.span("regions cut", run.cut_s)
    ready_cut = min(one["hollow"]["ready"] for one in samples)
    at = now_us()
    rig.heal()
    back = run.back("regions healed", at)
    samples += back.pop("samples")[1:]
    after = run.recorder.span("regions, after", 20.0)  # whoever leaves the list for the heal has left by now
    samples += after[1:]
    left = log_events(rig.folder, rig.names, begin, "catching_up")
    ready = min(one["hollow"]["ready"] for one in samples)
    return result(
        samples, cut_s=run.cut_s, ready_least_cut=ready_cut, left_the_list=samples[0]["hollow"]["on"] - ready,
        real_left_the_list=len({line["backend"] for line in left}), **back,
    )  # fmt: skip


def changes(run: Run) -> dict:
    """Three at the day's pace, then 50 at once, each put in at a hollow member by chance; then three by an
    operator's command at real ones, told once enough others hold them."""
    rig, put_at, held = run.rig, {}, {}
    real_held: dict[str, dict[str, int]] = {name: {} for name in rig.names}

    def put(count: int) -> None:
        keys = [f"said/scale-{next(run.keys)}" for _ in range(count)]
        rig.tell("watch", keys=keys)
        at = rig.put([(run.chance.choice(rig.stubs), key, {"set": "x" * 80}) for key in keys])
        put_at.update(dict.fromkeys(keys, at))

    def look() -> bool:
        for key, (count, at) in _keys(rig).items():
            if count == len(rig.stubs) and key not in held:
                held[key] = at
        for name, seen in real_held.items():
            while waits := [key for key in put_at if key not in seen]:
                page = rig.ask(name, 0.5, k="state", prefix=waits[0])
                if page is None or not page["rows"]:
                    break
                seen[waits[0]] = now_us()
        everyone = all(len(seen) == len(put_at) for seen in real_held.values())
        return bool(put_at) and len(held) == len(put_at) and everyone

    every_s = DAY_S / CHANGES
    moments: list = [(1 + n * every_s, lambda: put(1)) for n in range(3)]
    moments.append((1 + 3 * every_s, lambda: put(BURST)))
    samples = run.recorder.span("changes", moments[-1][0] + 5, moments, look, run.most_s, REAL_LOOK_S)
    took = {key: max([held[key], *(seen.get(key, 0) for seen in real_held.values())]) for key in held}
    took = {key: (at - put_at[key]) / 1e6 for key, at in took.items()}
    first = [took[key] for key in list(put_at)[:3] if key in took]
    burst = [took[key] for key in list(put_at)[3:] if key in took]
    missing = len(put_at) - len(held) + sum(len(put_at) - len(seen) for seen in real_held.values())
    rig.tell("forget")
    return result(
        samples, put=len(put_at), not_held=missing, one_s=figures.summed(first) if first else None,
        burst_s=figures.summed(burst) if burst else None, acked=[_acked(run) for _ in range(3)],
    )  # fmt: skip


def _keys(rig: MixedFleet) -> dict[str, tuple[int, int]]:
    """For each watched key how many hollow members hold it, and when the last came to."""
    sums: dict[str, tuple[int, int]] = {}
    for one in rig.tell("seen"):
        for key, (count, at) in one["keys"].items():
            before = sums.get(key, (0, 0))
            sums[key] = before[0] + count, max(before[1], at)
    return sums


def _acked(run: Run) -> dict:
    name, began = run.chance.choice(run.rig.names), time.monotonic()
    told = run.rig.ask(name, 11, k="put", key=f"said/scale-{next(run.keys)}", value="x" * 80, wait_ms=10_000)
    took = time.monotonic() - began
    return {"took_s": round(took, 3)} | {key: (told or {}).get(key) for key in ("acked", "held", "why")}


def restart(run: Run) -> dict:
    """Three real backends, one after the other, killed and started again with all others in reach."""
    found, samples = [], []
    for name in run.chance.sample(run.rig.names, min(3, len(run.rig.names))):
        before = run.recorder.sample(whom=True)
        since = time.time_ns() // 1000
        run.rig.kill(name)
        run.rig.launch(name)
        samples += run.recorder.span(f"restart of {name}", 20.0)
        after = run.recorder.sample(whom=True)
        asked = {
            whom: count - before["whom"].get(name, {}).get(whom, 0)
            for whom, count in after["whom"].get(name, {}).items()
        }
        started = log_events(run.rig.folder, [name], since, "started")
        caught = log_events(run.rig.folder, [name], since, "caught_up")
        counts = after["real"][name]["counts"] or {}
        found.append(
            {
                "backend": name,
                "asked_hollow": sum(count > 0 for count in asked.values()),
                "asked": sorted(whom for whom, count in asked.items() if count > 0)[:20],
                "attempts": counts.get("fetches"),
                "took_ms": caught[0]["took_ms"] if caught else None,
                "whole": caught[0]["whole"] if caught else None,
                "start_s": round((started[0]["at"] - since) / 1e6, 3) if started else None,
                "ready_s": round((caught[0]["at"] - since) / 1e6, 3) if caught else None,
            }
        )
    return result(samples, restarted=found)


SCRIPTS: dict[str, Callable[[Run], dict]] = {
    one.__name__: one for one in (rest, ordinary, release, rack, cell, zone, regions, changes, restart)
}
