"""The decisions of one backend, and the order in which they are made."""

from crowwing.contract import Result, Step
from crowwing.logic.admission import Admission
from crowwing.logic.backend_state import IDLE_TIMER_INTERVAL, TIMER_INTERVAL
from crowwing.logic.control_loops import ControlLoops
from crowwing.logic.downstream_calls import DownstreamCalls
from crowwing.logic.request import RUNNING
from crowwing.logic.scheduling import Scheduling

LAG_HIGH, LAG_LOW = 0.6, 0.3  # read delay in time budgets: from which unready, under which ready again
MIN_RETURNING = 0.5  # part of requests with a recent caller, under which idle connections close early


class LoadManager(Admission, Scheduling, DownstreamCalls, ControlLoops):
    """Decides for one backend."""

    def begin(self, now: int) -> list[Result]:
        return [(Step.READY, None, 0)]

    def on_timer(self, now: int, gauges: dict[str, float]) -> list[Result]:
        out: list[Result] = []
        passed, running = now - self.updated, self.counts[RUNNING]
        self.on_cores += min(1.0, passed / 60_000) * (gauges.get("on_cores", running) - self.on_cores)
        self.load = gauges.get("core_use", 1.0)
        if self.on_cores < self.facts.cores / 2:  # idle cores read at once
            self.lag *= max(0.0, 1 - passed / 200_000)
        self.update_controls(now)
        # Callers of requests that are read too late get no retry-after in time, only the health check keeps
        # them away; also in pauses and floods. A risk where all backends become unready at once.
        overdue = self.lag > (LAG_HIGH if self.ready else LAG_LOW) * min(self.budgets) or self.unhealthy(now)
        if overdue == self.ready and not self.drain_since:
            self.ready = not overdue
            out.append((Step.READY if self.ready else Step.UNREADY, None, 0))
        self.report_spare_capacity(now, out)
        # Connections of callers that don't return, as after restarts, would keep others out. With retries, a
        # full table shelters busy cores, since a connection not accepted costs no reading; that there are
        # none, only rejections show. A risk where opening a connection costs as much as a run.
        divisor = 1 if self.load > 0.8 else 3
        divisor = 1 if self.returning > MIN_RETURNING else 60 if self.rejection_is_final() else divisor
        idle = self.facts.max_idle_time // divisor
        if idle != self.idle_timeout:
            self.idle_timeout = idle
            out.append((Step.IDLE, None, idle))
        return out

    def drain(self, now: int, stop: int) -> list[Result]:
        """Starts the drain: the process is stopped at `stop`."""
        self.drain_since, self.stop_at = now, stop
        out: list[Result] = [(Step.UNREADY, None, 0)]
        self.report_spare_capacity(now, out)
        return out

    def decide(self, now: int) -> list[Result]:
        """Decides once everything that happened now has been reported: arrivals, the queue and calls."""
        out: list[Result] = []
        if now >= self.next_check:
            self.check_deadlines(now, out)
        self.admit_arrivals(now, out)
        self.start_queued(now, out)
        self.make_calls(now, out)
        self.not_run.clear()
        self.schedule_timer(now, out)
        return out

    def schedule_timer(self, now: int, out: list[Result]) -> None:
        """Asks for a wake-up timer, soon while a request is open; a timer cannot be cancelled."""
        span = TIMER_INTERVAL if self.requests else IDLE_TIMER_INTERVAL
        if not now < self.next_timer <= now + span:
            self.next_timer = now + span
            out.append((Step.WAKE, None, span))
