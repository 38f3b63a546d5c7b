"""What runs and when: the hold, its timeouts, the start of work, and the watch over outer limits."""

from crowwing.contract import Repeat, Result, Step
from crowwing.logic.backend_state import SPREAD, SURVIVE, WAKE_EVERY, Books
from crowwing.logic.request_handle import HELD, NEW, PAUSED, RUNNING, Ticket


class Running(Books):
    """Starts held work, and answers what its time is up for."""

    def start(self, now: int, out: list[Result]) -> None:
        """Held tickets past their timeout are dismissed; what fits is started, highest rank first."""
        for queue in self.queues:
            for t in queue[:]:
                if now >= self.patience(t) or self.stalled(now):
                    self.waited = max(self.waited, (now - t.arrived) / max(1, self.patience(t) - t.arrived))
                    self.dismiss(t, now, out)
        for t in sorted((t for queue in self.queues for t in queue), key=lambda t: -t.rank):
            if self.counts[RUNNING] >= int(self.limit) or self.crowded(now):
                break
            if not self.fits(t):
                continue
            if self.facts.fresh_for and t.key and not t.write and t.type.repeat is Repeat.REDOABLE:
                self.keep(t, now, t.due - now + self.facts.fresh_for, out)
            t.ran, t.below, t.crowd = True, 0, max(self.counts[RUNNING], self.on_cores)
            self.moved = self.moved if self.counts[RUNNING] else now
            self.move(t, RUNNING)
            out.append((Step.RUN, t, 0))

    def patience(self, t: Ticket) -> int:
        """Until when a held ticket is worth holding: its queue timeout, and while an answer can earn."""
        if t.ran and t.type.repeat is not Repeat.REDOABLE:
            return t.due
        # Guards against dismissals for a chance wait while cores idle again soon: few cores, long runs. Waits
        # are stretched only while little is dismissed, and where that is the end of a ticket. Could harm
        # where runs vary so much that half of what starts at the end of the stretched time answers late.
        spare = max(0.0, 1 - self.shed / SPREAD) if self.final() else 0.0
        more = max(0, self.span[t.kind] - self.median[t.kind] - self.timeout[t.kind])
        return min(t.arrived + self.timeout[t.kind] + round(spare * more), t.aim - self.median[t.kind] // 2)

    def fits(self, t: Ticket) -> bool:
        """Whether memory and the line before what lies below leave room for one more run."""
        more = 0.0 if t.state == PAUSED else t.kb * (self.facts.run_factor - 1)
        return not self.lined_up(t) and self.used() + more <= SURVIVE * self.facts.memory_kb

    def watch(self, now: int, out: list[Result]) -> None:
        """Outer limits, entries that ran out, calls that left; stopped work that did not stop."""
        self.next_watch = now + WAKE_EVERY // 2
        early = max(0, 2 * WAKE_EVERY - self.facts.answer_slack)
        last = self.stop - 3 * WAKE_EVERY if self.notice else now + 1
        for t in list(self.open.values()):
            if t.answered and t.state == RUNNING and 0 < t.halted < now - 5 * WAKE_EVERY:
                self.halt(t, now, out)
            elif not t.answered and now >= min(t.due - early, last):
                if t.state in (NEW, HELD) and not t.ran:
                    self.dismiss(t, now, out)
                else:
                    self.forfeit(t, now, out)
        self.kept = {op_id: until for op_id, until in self.kept.items() if until > now}
        while self.lingering and self.lingering[0] <= now:
            self.lingering.popleft()
