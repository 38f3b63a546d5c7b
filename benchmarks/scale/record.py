"""Samples every process of a wide rig periodically while a script runs."""

import os
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import orjson

from crowwing.emulator.fleet.mixed_fleet import MixedFleet, cpu_s, memory_kb

SAMPLE_PERIOD_S = 10.0
QUERY_TIMEOUT_S = 1.0
TimedAction = tuple[float, Callable[[], object]]  # seconds after the start of the phase, and the action


class RunAbortedError(RuntimeError):
    """A run ended before its script did; the message is one line."""


def show_progress(text: str) -> None:
    """Prints one line that the next call overwrites, if stderr is a terminal."""
    if sys.stderr.isatty():
        print(f"\r{text:<100.100}", end="", file=sys.stderr, flush=True)


class Recorder:
    """Raises RunAbortedError once all processes together hold more than `memory_limit_kb`."""

    def __init__(self, rig: MixedFleet, title: str, memory_limit_kb: int) -> None:
        self.rig, self.title, self.memory_limit_kb = rig, title, memory_limit_kb
        self.began = time.monotonic()
        self.peak_memory_kb = 0  # of all processes together

    def sample(self, by_peer: bool = False) -> dict:
        rig = self.rig
        stubs = rig.tell("counts", whom=by_peer)
        request_counts: dict[str, list[int]] = {}
        for report in stubs:
            for name, counts in report["asked"].items():
                request_counts[name] = [
                    a + b for a, b in zip(request_counts.get(name, [0, 0, 0]), counts, strict=True)
                ]
        real = {}
        for name, pid in rig.pids(rig.names).items():
            rss, hwm = memory_kb(pid)
            own_counts = dict(rig.request_counts[name])  # the harness's own requests are no fleet traffic
            counts = rig.ask(name, QUERY_TIMEOUT_S, k="counts")
            if counts is not None:
                counts.pop("n")
                counts |= {key: counts[key] - count for key, count in own_counts.items()}
            stream = sum(request_counts.get(name, [0, 0, 0])[1:])
            real[name] = {
                "pid": pid, "cpu_s": cpu_s(pid), "rss_kb": rss, "hwm_kb": hwm, "stream_bytes": stream,
                "counts": counts, "speaks": name in rig.initial_speakers,
            }  # fmt: skip
        hosts = [memory_kb(host.child.pid) for host in rig.stub_processes]
        self.peak_memory_kb = max(
            self.peak_memory_kb,
            memory_kb(os.getpid())[0]
            + sum(rss for rss, _ in hosts)
            + sum(report["rss_kb"] for report in real.values()),
        )
        if self.peak_memory_kb > self.memory_limit_kb:
            raise RunAbortedError(
                f"holds {self.peak_memory_kb / 1e6:.1f} GB, over half of the machine's memory"
            )
        sums = {
            key: sum(report["sums"][key] for report in stubs) for key in (stubs[0]["sums"] if stubs else ())
        }
        events: dict[str, int] = {}
        for report in stubs:
            for event, count in report["events"].items():
                events[event] = events.get(event, 0) + count
        slowest = max(stubs, key=lambda report: report["lag_s"], default={"lag_s": 0.0, "lag_used_s": 0.0})
        result = {
            "at_s": time.monotonic() - self.began,
            "real": real,
            "hollow": {
                "on": sum(report["on"] for report in stubs),
                "ready": sum(report["ready"] for report in stubs),
                "sums": sums, "events": events, "rss_kb": sum(rss for rss, _ in hosts),
                "cpu_s": sum(report["cpu_s"] for report in stubs),
                "cpu_each_s": [report["cpu_s"] for report in stubs],
                "lag_s": slowest["lag_s"], "lag_used_s": slowest["lag_used_s"],
                "most_bytes_s": max(
                    (report["most_bytes"] / report["passed_s"] for report in stubs), default=0.0
                ),
                "most_datagrams_s": max(
                    (report["most_datagrams"] / report["passed_s"] for report in stubs), default=0.0
                ),
                "speakers": sum(report["speakers"] for report in stubs),
                "speakers_bytes_s": sum(report["speakers_bytes"] / report["passed_s"] for report in stubs),
                "took_ms": [took for report in stubs for took in report["took_ms"]],
            },
        }  # fmt: skip
        if rig.standalone is not None:
            pid = rig.standalone.child.pid
            result["alone"] = {
                "cpu_s": cpu_s(pid),
                **dict(zip(("rss_kb", "hwm_kb"), memory_kb(pid), strict=True)),
            }
        if by_peer:
            result["whom"] = {}
            for report in stubs:
                for name, counts in report["asked_whom"].items():
                    result["whom"].setdefault(name, {}).update(counts)
        return result

    def record(
        self,
        label: str,
        min_s: float,
        actions: Sequence[TimedAction] = (),
        is_done: Callable[[], bool] | None = None,
        timeout_s: float = 0.0,
        poll_s: float = 1.0,
    ) -> list[dict]:
        """Samples for `min_s` and runs `actions`; then until `is_done()`, for at most `timeout_s` more."""
        samples, began, pending = (
            [self.sample()],
            time.monotonic(),
            sorted(actions, key=lambda action: action[0]),
        )
        next_sample, next_poll, last_sample = SAMPLE_PERIOD_S, poll_s, began
        while True:
            passed = time.monotonic() - began
            while pending and pending[0][0] <= passed:
                pending.pop(0)[1]()
                passed = time.monotonic() - began
            if passed >= next_sample:
                samples.append(self.sample())
                last_sample = time.monotonic()
                next_sample = SAMPLE_PERIOD_S * (passed // SAMPLE_PERIOD_S + 1)
            ended = passed >= min_s and not pending
            if ended and (is_done is None or passed >= min_s + timeout_s):
                break
            if is_done is not None and passed >= next_poll:
                next_poll = passed + poll_s
                if is_done() and ended:
                    break
            show_progress(f"{self.title}: {label} {passed:.0f} s")
            deadlines = [
                next_sample,
                *(at for at, _ in pending[:1]),
                min_s if passed < min_s else passed + poll_s,
            ]
            time.sleep(max(0.005, min(0.25, min(deadlines) - passed)))
        if len(samples) < 2 or time.monotonic() - last_sample > 1.0:
            samples.append(self.sample())
        return samples


def wait_for_real(rig: MixedFleet, timeout_s: float) -> None:
    """Waits until every real backend answers or the time-out expires."""
    rig.until(lambda: all(rig.ask(name, QUERY_TIMEOUT_S, k="counts") for name in rig.names), timeout_s, 0.2)


def log_events(folder: Path, names: Sequence[str], since_us: int, event: str) -> list[dict]:
    """Log lines of one event that real backends wrote since `since_us` (Unix µs)."""
    found = []
    for name in names:
        for raw_line in (folder / f"{name}.log").read_bytes().splitlines():
            if f'"event":"{event}"'.encode() in raw_line:
                line = orjson.loads(raw_line)
                if line["at"] >= since_us:
                    found.append(line)
    return found
