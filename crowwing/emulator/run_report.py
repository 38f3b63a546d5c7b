"""Builds the report of one emulation run as plain values for JSON. Free of I/O."""

from crowwing.emulator import rules, served_value
from crowwing.emulator.ground_truth import GroundTruth
from crowwing.emulator.plan import Plan


def build_report(plan: Plan, truth: GroundTruth, late_part: float | None, folder: str) -> dict:
    """Builds the report.

    `late_part` is the part of ticks in which the emulator itself was late; None if the run is valid.
    """
    return {
        "backends": plan.backends,
        "load": plan.traffic.load,
        "habit": plan.sidecars.habit,
        "seed": plan.seed,
        "faults": [fault.kind for fault in plan.faults],
        "phases": [phase._asdict() for phase in served_value.phases(plan, truth)],
        "seconds": [round(second.share, 4) for second in served_value.by_second(plan, truth)],
        "tries_by_second": [second.attempts for second in served_value.by_second(plan, truth)],
        "recovery_s": served_value.recovery(plan, truth),
        "breaches": [breach._asdict() for breach in rules.check(plan, truth)],
        "below_most": truth.below_most,
        "late_part": late_part,
        "folder": folder,
    }
