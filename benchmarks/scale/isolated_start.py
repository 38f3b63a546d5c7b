"""Starts a real backend while no peer is reachable: connections are refused, or time out as in a partition.

Only this one backend runs, so any fleet size can be measured.
"""

from pathlib import Path

from benchmarks.scale import figures
from benchmarks.scale.record import Recorder, log_events, wait_for_real
from crowwing.emulator.fleet.mixed_fleet import MixedFleet


def measure(
    folder: Path, size: int, seed: int, cells: bool, silent: bool, span_s: float, memory_limit_kb: int
) -> dict:
    """`silent`: peers accept connections and never answer; otherwise nothing listens on their ports."""
    processes = max(1, size // 1300) if silent else 0
    rig = MixedFleet(folder, size, 1, seed, cells=cells, processes=processes, silent=True)
    with rig:
        label = "silent" if silent else "refused"
        wait_for_real(rig, 20.0)
        samples = Recorder(rig, f"lonely, {label}, {size}", memory_limit_kb).record(label, span_s)
    caught_up_events = log_events(folder, rig.names, 0, "caught_up")
    name = rig.names[0]
    return figures.summarize_phase(samples, at_rest=True) | {
        "found": {
            "attempts": (samples[-1]["real"][name]["counts"] or {}).get("fetches"),
            "took_ms": caught_up_events[0]["took_ms"] if caught_up_events else None,
        }
    }
