"""Checks the four rules on the ground truth of a finished emulation. Free of I/O."""

from typing import NamedTuple

from crowwing.emulator.ground_truth import Attempt, GroundTruth, Incarnation
from crowwing.emulator.plan import Plan

ANSWER_SLACK_US = 80_000 + 50_000  # microseconds: the platform's slack for an answer, plus socket latency


FINAL_ENDINGS = (
    "settled",
    "dismissed",
    "forfeited",
    "turned_down",
)  # turned_down is a 4xx response, which callers treat as failed


class Breach(NamedTuple):
    rule: int  # 1 to 4, as DESIGN numbers them
    at: int
    backend: int | None
    id: str
    what: str


def check(plan: Plan, truth: GroundTruth) -> list[Breach]:
    """Returns all breaches in order of time; empty if every rule was kept."""
    incarnations = {
        (incarnation.backend, incarnation.number): incarnation for incarnation in truth.incarnations
    }
    found: list[Breach] = []
    for attempt in truth.attempts():
        incarnation = incarnations[(attempt.backend, attempt.life)]
        found += _check_answers(attempt, incarnation)
        found += _check_side_effects(
            attempt, plan.types[truth.requests[attempt.ticket].kind].repeat == "safe"
        )
        found += _check_drain(attempt, incarnation, round(plan.grace_ms * 1000))
    for incarnation in truth.incarnations:
        if incarnation.how == "crashed":
            found.append(
                Breach(
                    4,
                    incarnation.ended,
                    incarnation.backend,
                    "",
                    f"the process ended with {incarnation.code}",
                )
            )
        elif incarnation.how == "drained" and (
            incarnation.code or incarnation.ended > incarnation.notice + plan.stop_ms * 1000 + ANSWER_SLACK_US
        ):
            found.append(
                Breach(3, incarnation.ended, incarnation.backend, "", "stopped later than it was told")
            )
    for at, backend, what in truth.failures:
        found.append(Breach(4, at, backend, "", f"fell over: {what}"))
    return sorted(found, key=lambda breach: breach.at)


def answer_deadline(attempt: Attempt) -> int:
    """Returns the time by which an answer is due.

    A long read queue may deliver the request after its deadline, so the time of delivery counts if later.
    """
    return max(attempt.due, attempt.written)


def _check_answers(attempt: Attempt, incarnation: Incarnation) -> list[Breach]:
    """Rule 1: one complete, final answer in time for each sent request, unless its backend was killed."""
    if not attempt.written:
        return []
    if not attempt.right:
        return [
            Breach(
                1,
                attempt.over,
                attempt.backend,
                attempt.id,
                "an answer or a launch that is not the ticket's own",
            )
        ]
    last = answer_deadline(attempt) + ANSWER_SLACK_US
    if attempt.ending in FINAL_ENDINGS:
        late = attempt.over > last
        return (
            [Breach(1, attempt.over, attempt.backend, attempt.id, "answered after its outer limit")]
            if late
            else []
        )
    taken = incarnation.how in ("killed", "fell") and (
        not attempt.over or incarnation.ended <= attempt.over + ANSWER_SLACK_US
    )
    if taken and incarnation.ended <= last:
        return []
    return [
        Breach(1, attempt.over or last, attempt.backend, attempt.id, f"no final answer: {attempt.ending}")
    ]


def _check_side_effects(attempt: Attempt, safe: bool) -> list[Breach]:
    """Rule 2: non-idempotent work runs once, is not rejected afterwards, and repeats no call that ran."""
    if safe:
        return []
    found = []
    if len(attempt.runs) > 1:
        found.append(Breach(2, attempt.runs[1][0], attempt.backend, attempt.id, "run twice"))
    if attempt.runs and attempt.ending == "dismissed":
        found.append(Breach(2, attempt.over, attempt.backend, attempt.id, "dismissed after it ran"))
    for (_, _, how), (again, _, _) in zip(attempt.calls, attempt.calls[1:], strict=False):
        if how != "turned_away":
            found.append(Breach(2, again, attempt.backend, attempt.id, f"its call was repeated after: {how}"))
    return found


def _check_drain(attempt: Attempt, incarnation: Incarnation, grace: int) -> list[Breach]:
    """Rule 3: nothing runs that arrived after the grace period following the shutdown notice."""
    if not incarnation.notice or attempt.came <= incarnation.notice + grace + ANSWER_SLACK_US:
        return []
    return [
        Breach(3, run[0], attempt.backend, attempt.id, "run though it came after the grace")
        for run in attempt.runs
    ]
