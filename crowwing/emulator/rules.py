"""The four rules, checked on the truth of an emulation after it is over. Pure."""

from typing import NamedTuple

from crowwing.emulator.plan import Plan
from crowwing.emulator.truth import Life, Truth, Try

SLACK = 80_000 + 50_000  # microseconds: the platform's slack for an answer, and that of sockets


ANSWERS = (
    "settled",
    "dismissed",
    "forfeited",
    "turned_down",
)  # the last: a 4xx, which callers take as failed


class Breach(NamedTuple):
    rule: int  # 1 to 4, as DESIGN numbers them
    at: int
    backend: int | None
    id: str
    what: str


def check(plan: Plan, truth: Truth) -> list[Breach]:
    """All breaches, in order of time; empty where the rules were kept."""
    lives = {(life.backend, life.number): life for life in truth.lives}
    found: list[Breach] = []
    for one in truth.tries():
        life = lives[(one.backend, one.life)]
        found += _answers(one, life)
        found += _effects(one, plan.types[truth.tickets[one.ticket].kind].repeat == "safe")
        found += _drain(one, life, round(plan.grace_ms * 1000))
    for life in truth.lives:
        if life.how == "crashed":
            found.append(Breach(4, life.ended, life.backend, "", f"the process ended with {life.code}"))
        elif life.how == "drained" and (life.code or life.ended > life.notice + plan.stop_ms * 1000 + SLACK):
            found.append(Breach(3, life.ended, life.backend, "", "stopped later than it was told"))
    for at, backend, what in truth.fallen:
        found.append(Breach(4, at, backend, "", f"fell over: {what}"))
    return sorted(found, key=lambda breach: breach.at)


def owed(one: Try) -> int:
    """Until when its answer is owed; a long reading line may bring it when its time has passed."""
    return max(one.due, one.written)


def _answers(one: Try, life: Life) -> list[Breach]:
    """Rule 1: one whole, final answer in time for what was written, unless its backend was killed."""
    if not one.written:
        return []
    if not one.right:
        return [
            Breach(1, one.over, one.backend, one.id, "an answer or a launch that is not the ticket's own")
        ]
    last = owed(one) + SLACK
    if one.ending in ANSWERS:
        late = one.over > last
        return [Breach(1, one.over, one.backend, one.id, "answered after its outer limit")] if late else []
    taken = life.how in ("killed", "fell") and (not one.over or life.ended <= one.over + SLACK)
    if taken and life.ended <= last:
        return []
    return [Breach(1, one.over or last, one.backend, one.id, f"no final answer: {one.ending}")]


def _effects(one: Try, safe: bool) -> list[Breach]:
    """Rule 2: what is irreversible runs once, is not dismissed then, and repeats no call that had run."""
    if safe:
        return []
    found = []
    if len(one.runs) > 1:
        found.append(Breach(2, one.runs[1][0], one.backend, one.id, "run twice"))
    if one.runs and one.ending == "dismissed":
        found.append(Breach(2, one.over, one.backend, one.id, "dismissed after it ran"))
    for (_, _, how), (again, _, _) in zip(one.calls, one.calls[1:], strict=False):
        if how != "turned_away":
            found.append(Breach(2, again, one.backend, one.id, f"its call was repeated after: {how}"))
    return found


def _drain(one: Try, life: Life, grace: int) -> list[Breach]:
    """Rule 3: nothing is run that came later than the grace after the notice."""
    if not life.notice or one.came <= life.notice + grace + SLACK:
        return []
    return [Breach(3, run[0], one.backend, one.id, "run though it came after the grace") for run in one.runs]
