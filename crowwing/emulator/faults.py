"""Expands a script of faults into timed begin and end events. Free of I/O."""

from random import Random
from typing import NamedTuple

from crowwing.emulator.plan import Fault, Plan


class FaultEvent(NamedTuple):
    at: int  # microseconds since the start of the traffic
    begins: bool
    number: int  # index of the fault in the plan
    fault: Fault
    backends: tuple[int, ...]


def affected_backends(plan: Plan, number: int) -> tuple[int, ...]:
    """Returns the backends hit by a fault: those named, or a seeded random sample of the given part."""
    fault = plan.faults[number]
    if fault.backends or not fault.part:
        return fault.backends
    count = max(1, round(fault.part * plan.backends))
    return tuple(sorted(Random(f"{plan.seed}/fault/{number}").sample(range(plan.backends), count)))


def schedule(plan: Plan) -> list[FaultEvent]:
    """Returns the events by time; at the same time, ends come before beginnings."""
    events = []
    for number, fault in enumerate(plan.faults):
        begin, end = round(fault.at_s * 1e6), round((fault.at_s + fault.for_s) * 1e6)
        backends = affected_backends(plan, number)
        events += [
            FaultEvent(begin, True, number, fault, backends),
            FaultEvent(end, False, number, fault, backends),
        ]
    return sorted(events, key=lambda event: (event.at, event.begins, event.number))


def speed_factor(plan: Plan, active: set[int], kind: str, backend: int | None = None) -> float:
    """Returns the combined speed factor of all active faults: factors multiply, and a hang counts as 0."""
    speed = 1.0
    for number in active:
        fault = plan.faults[number]
        if backend is not None and backend not in affected_backends(plan, number):
            continue
        if fault.kind == ("slow" if kind == "machine" else "crawl_below"):
            speed *= fault.size
        elif fault.kind == ("hang" if kind == "machine" else "hang_below"):
            speed = 0.0
    return speed


def span(plan: Plan) -> tuple[float, float] | None:
    """Returns the start of the first fault and the end of the last one, in seconds; None without faults."""
    if not plan.faults:
        return None
    return min(f.at_s for f in plan.faults), max(f.at_s + f.for_s for f in plan.faults)
