"""Reads every process of a wide rig now and then while a script goes on."""

import os
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import orjson

from crowwing.emulator.fleet.mixed_fleet import MixedFleet, cpu_s, memory_kb

BIN_S = 10.0
ASK_S = 1.0
Moment = tuple[float, Callable[[], object]]  # seconds after the phase began, and what is done then


class Stopped(RuntimeError):
    """Why a run ends before its script does: one line."""


def say(text: str) -> None:
    """Progress: one line that the next one overwrites, and only where somebody looks."""
    if sys.stderr.isatty():
        print(f"\r{text:<100.100}", end="", file=sys.stderr, flush=True)


class Recorder:
    """`memory_most` (kB): a run that comes to hold more ends (Stopped)."""

    def __init__(self, rig: MixedFleet, title: str, memory_most: int) -> None:
        self.rig, self.title, self.memory_most = rig, title, memory_most
        self.began = time.monotonic()
        self.memory = 0  # kB, the most that all processes held together

    def sample(self, whom: bool = False) -> dict:
        rig = self.rig
        hollow = rig.tell("counts", whom=whom)
        asked: dict[str, list[int]] = {}
        for one in hollow:
            for name, counts in one["asked"].items():
                asked[name] = [a + b for a, b in zip(asked.get(name, [0, 0, 0]), counts, strict=True)]
        real = {}
        for name, pid in rig.pids(rig.names).items():
            rss, hwm = memory_kb(pid)
            ours = dict(rig.request_counts[name])  # what it counts of our own asking is no fleet's
            counts = rig.ask(name, ASK_S, k="counts")
            if counts is not None:
                counts.pop("n")
                counts |= {key: counts[key] - count for key, count in ours.items()}
            stream = sum(asked.get(name, [0, 0, 0])[1:])
            real[name] = {
                "pid": pid, "cpu_s": cpu_s(pid), "rss_kb": rss, "hwm_kb": hwm, "stream_bytes": stream,
                "counts": counts, "speaks": name in rig.initial_speakers,
            }  # fmt: skip
        hosts = [memory_kb(host.child.pid) for host in rig.stub_processes]
        self.memory = max(self.memory, memory_kb(os.getpid())[0] + sum(rss for rss, _ in hosts)
                          + sum(one["rss_kb"] for one in real.values()))  # fmt: skip
        if self.memory > self.memory_most:
            raise Stopped(f"holds {self.memory / 1e6:.1f} GB, over half of the machine's memory")
        sums = {key: sum(one["sums"][key] for one in hollow) for key in (hollow[0]["sums"] if hollow else ())}
        events: dict[str, int] = {}
        for one in hollow:
            for event, count in one["events"].items():
                events[event] = events.get(event, 0) + count
        late = max(hollow, key=lambda one: one["lag_s"], default={"lag_s": 0.0, "lag_used_s": 0.0})
        told = {
            "at_s": time.monotonic() - self.began,
            "real": real,
            "hollow": {
                "on": sum(one["on"] for one in hollow), "ready": sum(one["ready"] for one in hollow),
                "sums": sums, "events": events, "rss_kb": sum(rss for rss, _ in hosts),
                "cpu_s": sum(one["cpu_s"] for one in hollow),
                "cpu_each_s": [one["cpu_s"] for one in hollow],
                "lag_s": late["lag_s"], "lag_used_s": late["lag_used_s"],
                "most_bytes_s": max((one["most_bytes"] / one["passed_s"] for one in hollow), default=0.0),
                "most_datagrams_s": max(
                    (one["most_datagrams"] / one["passed_s"] for one in hollow), default=0.0
                ),
                "speakers": sum(one["speakers"] for one in hollow),
                "speakers_bytes_s": sum(one["speakers_bytes"] / one["passed_s"] for one in hollow),
                "took_ms": [took for one in hollow for took in one["took_ms"]],
            },
        }  # fmt: skip
        if rig.standalone is not None:
            pid = rig.standalone.child.pid
            told["alone"] = {
                "cpu_s": cpu_s(pid),
                **dict(zip(("rss_kb", "hwm_kb"), memory_kb(pid), strict=True)),
            }
        if whom:
            told["whom"] = {}
            for one in hollow:
                for name, counts in one["asked_whom"].items():
                    told["whom"].setdefault(name, {}).update(counts)
        return told

    def span(
        self,
        label: str,
        least_s: float,
        moments: Sequence[Moment] = (),
        over: Callable[[], bool] | None = None,
        most_s: float = 0.0,
        look_s: float = 1.0,
    ) -> list[dict]:
        """Samples over `least_s`, in which `moments` are done; then on until `over()`, `most_s` at most."""
        samples, began, due = [self.sample()], time.monotonic(), sorted(moments, key=lambda moment: moment[0])
        next_bin, next_look, sampled = BIN_S, look_s, began
        while True:
            passed = time.monotonic() - began
            while due and due[0][0] <= passed:
                due.pop(0)[1]()
                passed = time.monotonic() - began
            if passed >= next_bin:
                samples.append(self.sample())
                sampled = time.monotonic()
                next_bin = BIN_S * (passed // BIN_S + 1)
            ended = passed >= least_s and not due
            if ended and (over is None or passed >= least_s + most_s):
                break
            if over is not None and passed >= next_look:
                next_look = passed + look_s
                if over() and ended:
                    break
            say(f"{self.title}: {label} {passed:.0f} s")
            soon = [next_bin, *(at for at, _ in due[:1]), least_s if passed < least_s else passed + look_s]
            time.sleep(max(0.005, min(0.25, min(soon) - passed)))
        if len(samples) < 2 or time.monotonic() - sampled > 1.0:
            samples.append(self.sample())
        return samples


def wait_for_real(rig: MixedFleet, most_s: float) -> None:
    """Until every real backend answers, or the time is over."""
    rig.until(lambda: all(rig.ask(name, ASK_S, k="counts") for name in rig.names), most_s, 0.2)


def log_events(folder: Path, names: Sequence[str], since_us: int, event: str) -> list[dict]:
    """Lines of one kind that real backends wrote since then (Unix µs)."""
    found = []
    for name in names:
        for raw in (folder / f"{name}.log").read_bytes().splitlines():
            if f'"event":"{event}"'.encode() in raw:
                line = orjson.loads(raw)
                if line["at"] >= since_us:
                    found.append(line)
    return found
