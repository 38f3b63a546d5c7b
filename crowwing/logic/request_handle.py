"""The handle of one ticket, on which all its later news is a call."""

from typing import TYPE_CHECKING

from crowwing.contract import Halt, Id, Outcome, Repeat, Result

if TYPE_CHECKING:  # only named: the ticket is made by its manager
    from crowwing.logic.load_manager import LoadManager

CALL_TRIES = 3  # of one call
NEW, HELD, RUNNING, ASKING, CALLING, PAUSED, SHARING, OVER = range(8)


class Ticket:
    """The handle of one ticket; its news comes as calls."""

    def __init__(self, manager: "LoadManager", op_id: Id, kind: int, kb: float) -> None:
        self.manager, self.id, self.kind, self.kb = manager, op_id, kind, kb
        self.type = manager.facts.types[kind]
        self.state, self.weight, self.crowd = OVER, 0.0, 0.0
        self.answered = self.closed = self.ran = False
        self.asked = self.below = self.tries = self.not_before = self.halted = self.call_until = 0

    def ended(self, now: int, took: int, outcome: Outcome) -> list[Result]:
        """A run or a share is over."""
        m, was = self.manager, self.state
        if self.closed or was not in (RUNNING, ASKING, CALLING, SHARING):
            return []
        m.progress(now)
        if was == CALLING:
            m.lingering.append(now + m.facts.lingers)
        if outcome is Outcome.STOPPED and not self.answered:  # we halted it: back in the hold
            freeze = m.facts.halt is Halt.FREEZE
            m.move(self, PAUSED if freeze else HELD, keeps_weight=freeze)
            return []
        out: list[Result] = []
        if was != SHARING and not self.answered and outcome in (Outcome.GOOD, Outcome.FAILED):
            m.learn(self, took, outcome is Outcome.GOOD)
            if self.id in m.kept and self.type.repeat is Repeat.REDOABLE:  # stays fresh a while
                m.keep(self, now, m.facts.fresh_for if outcome is Outcome.GOOD else 0, out)
        m.close(self)
        return out

    def needs_call(self, now: int) -> list[Result]:
        """The run needs what lies below; it waits outside the limit."""
        if self.state == RUNNING and not self.answered:
            self.asked, self.tries = now, 0
            self.manager.progress(now)
            self.manager.move(self, ASKING, keeps_weight=True)
        return []

    def called(self, now: int, took: int, outcome: Outcome) -> list[Result]:
        """A call came back; after a good one the run goes on by itself."""
        if self.state != CALLING:
            return []
        m, out = self.manager, []
        if outcome is Outcome.UNSURE:
            m.lingering.append(now + m.facts.lingers)
        m.learn_call(took, outcome)
        if outcome is Outcome.GOOD:
            self.below += now - self.asked
            m.move(self, RUNNING, keeps_weight=True)
        elif not self.answered:
            m.move(self, ASKING, keeps_weight=True)
            again = outcome is Outcome.NEVER_RAN or self.type.repeat is Repeat.REDOABLE
            if self.type.credit_without > 0:
                m.go_on(self, now, out)
            elif again and self.tries < CALL_TRIES:
                self.not_before = now + m.call_usual
            else:
                m.forfeit(self, now, out)
        return out

    def gone(self, now: int) -> list[Result]:
        """The caller has given up; nothing is owed any more."""
        if self.closed or self.answered:
            return []
        self.answered, out = True, []
        if self.state in (NEW, HELD, PAUSED, SHARING):
            if not self.ran:  # a repeat read in this moment may run in its place
                self.manager.unrun.add(self.id)
                self.manager.keep(self, now, 0, out)
            self.manager.close(self)
        elif self.state == RUNNING and self.type.repeat is Repeat.REDOABLE:
            self.manager.halt(self, now, out)
        return out
