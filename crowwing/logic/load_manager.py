"""One backend's decisions, in the order in which a moment is worked through."""

from crowwing.contract import Result, Step
from crowwing.logic.admission import Intake
from crowwing.logic.backend_state import WAKE_EVERY, WAKE_QUIET
from crowwing.logic.control_loops import Learned
from crowwing.logic.downstream_calls import Calls
from crowwing.logic.request_handle import RUNNING
from crowwing.logic.scheduling import Running

JAM_OVER, JAM_UNDER = 0.6, 0.3  # unread time, in the time tickets come with: leave the list, come back
RETURNING = 0.5  # part of tickets whose caller was here lately, under which idle connections are closed early


class LoadManager(Intake, Running, Calls, Learned):
    """Decides for one backend."""

    def begin(self, now: int) -> list[Result]:
        return [(Step.READY, None, 0)]

    def wake(self, now: int, gauges: dict[str, float]) -> list[Result]:
        out: list[Result] = []
        passed, running = now - self.last_step, self.counts[RUNNING]
        self.on_cores += min(1.0, passed / 60_000) * (gauges.get("on_cores", running) - self.on_cores)
        self.busy = gauges.get("core_use", 1.0)
        if self.on_cores < self.facts.cores / 2:  # cores with room read at once
            self.unread *= max(0.0, 1 - passed / 200_000)
        self.steer(now)
        # Guards against a reading line that tickets leave too old to run: no answer, so no advice, in time;
        # only the list is. Should also cover pauses and floods. Could do harm where all leave it in step.
        jammed = self.unread > (JAM_OVER if self.ready else JAM_UNDER) * min(self.span) or self.sick(now)
        if jammed == self.ready and not self.notice:
            self.ready = not jammed
            out.append((Step.READY if self.ready else Step.UNREADY, None, 0))
        self.tell(now, out)
        # Guards against a table full of callers that don't come back: it costs capacity, and others find no
        # room. Should also cover restarts. Where what is dismissed is tried again it stays full while cores
        # are, since who finds no room costs no reading; that it is not, only dismissals can
        # show. Could do harm where opening a connection costs as much as a run.
        closes = 1 if self.busy > 0.8 else 3
        closes = 1 if self.returning > RETURNING else 60 if self.final() else closes
        idle = self.facts.idle_most // closes
        if idle != self.idle:
            self.idle = idle
            out.append((Step.IDLE, None, idle))
        return out

    def leave(self, now: int, stop: int) -> list[Result]:
        """The notice to leave: the process is stopped at `stop`."""
        self.notice, self.stop = now, stop
        out: list[Result] = [(Step.UNREADY, None, 0)]
        self.tell(now, out)
        return out

    def turn(self, now: int) -> list[Result]:
        """Everything that happened now is known: judge arrivals, the hold and calls, and start what fits."""
        out: list[Result] = []
        if now >= self.next_watch:
            self.watch(now, out)
        self.judge(now, out)
        self.start(now, out)
        self.ask_below(now, out)
        self.unrun.clear()
        self.rest(now, out)
        return out

    def rest(self, now: int, out: list[Result]) -> None:
        """Wakes soon while a ticket is open, seldom while none is; a wake asked for cannot be taken back."""
        span = WAKE_EVERY if self.open else WAKE_QUIET
        if not now < self.next_wake <= now + span:
            self.next_wake = now + span
            out.append((Step.WAKE, None, span))
