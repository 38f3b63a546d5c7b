"""One real backend: wires the parts, and sees it through its life from start to drain."""

import asyncio
import errno
import gc
import random
import signal
import traceback
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress
from typing import TYPE_CHECKING

from crowwing.program.configuration import BadConfiguration, Configuration
from crowwing.program.front import Front
from crowwing.program.log import Log
from crowwing.program.reporter import Reporter
from crowwing.routing.dispatcher import Dispatcher
from crowwing.routing.event_recorder import EventRecorder
from crowwing.transport.budget import DescriptorBudget
from crowwing.transport.listener import Listener
from crowwing.transport.pool import BufferPool

if TYPE_CHECKING:
    from types import SimpleNamespace

    from crowwing.routing.storm_monitor import StormMonitor


FIGURES = 5.0  # seconds between lines of figures
READ_AGAIN = 0.25  # seconds to the next reading of a configuration that could not be read
# Seconds before the end: takes no more connections, and ends those on which nothing is owed; has gone.
LAST_CALL, LAST_WORDS = 0.25, 0.06
ADDRESS_PATIENCE, ADDRESS_AGAIN = 5.0, 0.05  # seconds: for an address that is taken, and between tries
LET_GO = 0.05  # seconds for what is given up at the end


class Backend:
    """Also what the module speaks to beyond single tickets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        configuration: Configuration,
        log: Log,
        read: Callable[[], Configuration],
        operator: "SimpleNamespace | None" = None,
        told_early: Sequence[int] = (),
    ) -> None:
        """`told_early`: the notices to leave that came before the loop hears them."""
        self.told_early = told_early
        self.loop, self.configuration, self.log, self.read = loop, configuration, log, read
        records = operator.records if operator else None
        self.figures_every = records.figures_every_ms / 1000 if records else FIGURES
        self.unread: tuple[str, asyncio.TimerHandle] | None = None  # why, and the next try
        facts = configuration.facts
        self.recorder, self.pool = EventRecorder(log.write), BufferPool()
        budget = DescriptorBudget(configuration.sockets)
        shortest = min(kind.latency_target for kind in facts.classes) / 1e6
        self.front = Front(loop, self.recorder, configuration.names.deep_checks, shortest / 2)
        self.listener = Listener(loop, self.pool, budget.incoming, self.front.window)
        self.listener.idle = facts.max_idle_time / 1e6 or None
        self.reporter = Reporter(loop, configuration.control, self.pool, configuration.name, self.recorder)
        self.dispatcher = self.front.dispatcher = Dispatcher(
            loop, facts, configuration.names, configuration.seed, configuration.agent, configuration.below,
            budget.below, self.pool, self.recorder, self,
        )  # fmt: skip
        if operator is not None and operator.storm is not None:
            self.dispatcher.storm_monitor = self._make_storm_monitor(operator.storm)
        self.fleet = None
        if operator is not None and getattr(operator, "fleet", None):  # UNSET and None alike are off
            from crowwing.fleet.adapters.endpoint import FleetEndpoint  # only where a fleet is switched on

            self.fleet = FleetEndpoint(
                loop,
                operator.fleet,
                configuration.name,
                configuration.seed,
                self.recorder.event,
                self.caught_up,
            )
        self.together = None
        if self.fleet is not None and (
            operator.fleet.lends_calls
            or operator.fleet.shares_quota
            or operator.fleet.teaches
            or operator.fleet.shares_prints
        ):
            from crowwing.program.together import Together

            self.together = Together(
                self.fleet, self.dispatcher, configuration.names, operator.fleet, log.life, self.recorder
            )
        self.wants_in: bool | None = None  # the module's word, once it has spoken
        self.behind = self.fleet is not None  # the fleet's: not caught up
        self.over = asyncio.Event()
        self.lag = 0.0
        self.duties: list[asyncio.Task] = []

    def _make_storm_monitor(self, storm: "SimpleNamespace") -> "StormMonitor":
        # Its libraries are loaded only where it is switched on.
        from crowwing.routing.storm_monitor import StormMonitor
        from crowwing.storm.retry_scheduler import RetryScheduler

        facts, span = self.configuration.facts, round(storm.window_s * 1e6)
        now, types, most = self.dispatcher.now, len(facts.classes), storm.prints_most
        storm_monitor = StormMonitor(
            now, self.recorder, types, storm.prints, span, most, storm.lowers_repeats
        )
        if storm.paces_returns:
            chance = random.Random(f"{self.configuration.seed}/returns")
            storm_monitor.retry_scheduler = RetryScheduler(now(), facts.max_retry_after, chance)
        self.front.retry_after = storm.retry_after
        return storm_monitor

    # What the module sets

    def ready(self, good: bool) -> None:
        self.wants_in = good
        self._listed()

    def caught_up(self, good: bool) -> None:
        """The fleet's word: a member that is behind stays off the list until it has caught up."""
        self.behind = not good
        if self.wants_in is not None:
            self._listed()

    def _listed(self) -> None:
        good = bool(self.wants_in) and not self.behind
        self.front.good = good
        self.reporter.tell(good)
        self.recorder.event("ready" if good else "unready")

    def free_value(self, value: float) -> None:
        self.front.free_value = value

    def idle(self, span: float) -> None:
        self.listener.idle = span / 1e6 or None

    # Its life

    async def run(self) -> None:
        """Until it has drained. OSError if the address cannot be had."""
        self.loop.set_exception_handler(self._stray)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.leave)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.told_early:
            self.leave()
        await self._open()
        if self.fleet is not None:
            await self.fleet.open()
        self.reload()  # a SIGHUP that came before went unheard
        duties = (self.listener.accept, self.dispatcher.commands.link.run, self.reporter.run, self._beat)
        if self.together is not None:
            duties = (*duties, self.together.run)
        self.duties += [self.loop.create_task(self._keep(duty)) for duty in duties]
        if self.listener.sock is not None:
            self.log.write("started", listen=self._where(), sockets=self.configuration.sockets)
        gc.freeze()
        await self.over.wait()
        for duty in self.duties:
            duty.cancel()
        await asyncio.wait(self.duties, timeout=LET_GO)  # the end waits for none that does not let go
        if self.fleet is not None:
            self._tried(self.fleet.close)
        self._tried(self.figures)
        self._tried(lambda: self.log.write("stopped"))
        self.listener.last_look()

    def _where(self) -> str:
        return ":".join(map(str, self.configuration.listen))

    async def _open(self) -> None:
        """Guards against an end for an address that the last life of our name is still letting go. Could harm
        where another keeps it: that is said only after some seconds. A notice to leave ends the waiting."""
        until, said = self.loop.time() + ADDRESS_PATIENCE, False
        while not self.front.draining:
            try:
                return self.listener.open(*self.configuration.listen)
            except OSError as wrong:
                if wrong.errno != errno.EADDRINUSE or self.loop.time() > until:
                    raise
            if not said:
                said = True
                self.log.write("address_taken", listen=self._where())
            await asyncio.sleep(ADDRESS_AGAIN)

    async def _keep(self, duty: Callable[[], Coroutine]) -> None:
        """A defect in a duty is logged, and it begins again."""
        while not self.over.is_set():
            try:
                await duty()
                return
            except Exception:
                self.recorder.defect(duty.__qualname__, None)
                await asyncio.sleep(0.1)

    def _stray(self, _: asyncio.AbstractEventLoop, context: dict) -> None:
        wrong = context.get("exception")
        trace = "".join(traceback.format_exception(wrong)) if wrong else ""
        self.recorder.event("stray_defect", message=str(context.get("message")), trace=trace)

    def reload(self) -> None:
        """Reads the configuration again. What cannot be read changes nothing, and is tried until it can."""
        before, self.unread = self.unread, None
        if before is not None:
            before[1].cancel()
        try:
            configuration, changed, fixed = self.configuration.follow(self.read())
        except BadConfiguration as wrong:
            if before is None or before[0] != str(wrong):
                self.log.write("not_reloaded", why=str(wrong))
            self.unread = str(wrong), self.loop.call_later(READ_AGAIN, self.reload)
            return
        self.configuration = configuration
        if changed or fixed:
            self.log.write("reloaded", changed=changed, cannot_change=fixed)
        self.dispatcher.change_addresses(self.configuration.agent, self.configuration.below)
        self.reporter.move(self.configuration.control)

    def leave(self) -> None:
        """The notice to leave; a second one changes nothing."""
        if self.front.draining:
            return
        self.front.draining = True
        # First of all: it ends by itself, whatever fails in the steps below.
        self.duties.append(
            self.loop.create_task(self._drain(self.loop.time(), self.configuration.stop / 1e6))
        )
        self._tried(lambda: self.log.write("leaving", open=len(self.dispatcher.open_requests)))
        self._tried(lambda: self.dispatcher.drain(self.dispatcher.now() + self.configuration.stop))
        self._tried(self.listener.close_idle)
        if self.fleet is not None:
            self._tried(self.fleet.leave)

    def _tried(self, step: Callable[[], object]) -> None:
        """Guards the end of the process against a defect in one of its steps."""
        try:
            step()
        except Exception:
            with suppress(Exception):  # the log itself may be what fails
                self.recorder.defect("leaving", None)

    async def _drain(self, began: float, stop: float) -> None:
        """Stays for what callers still send, until they have all gone or the end is near."""
        grace, end = self.configuration.facts.drain_grace / 1e6, began + stop
        while self.dispatcher.manager is not None and self.loop.time() < end - LAST_CALL:
            answered = all(request.answered for request in self.dispatcher.open_requests.values())
            if answered and self.loop.time() > began + grace and not self.listener.connections:
                break
            await asyncio.sleep(0.01)
        self._tried(self.listener.close)
        try:
            await self.listener.finish(end - LAST_WORDS)
        except Exception:
            with suppress(Exception):
                self.recorder.defect("leaving", None)
        self.front.ending = True
        for _ in range(2):  # what the readers have taken is handed on, and answered at once
            await asyncio.sleep(0)
        self._tried(self.dispatcher.shut_down)
        for connection in list(self.listener.connections):
            self._tried(connection.end)
        self.over.set()

    async def _beat(self) -> None:
        """The figures, and how late the loop runs."""
        next_figures = self.loop.time() + self.figures_every
        while True:
            due = self.loop.time() + 0.1
            await asyncio.sleep(0.1)
            self.lag = max(self.lag, self.loop.time() - due)
            if self.loop.time() >= next_figures:
                next_figures += self.figures_every
                self.figures()

    def figures(self) -> None:
        manager, counts = self.dispatcher.manager, self.recorder.counts
        running = {
            "open": len(self.dispatcher.open_requests), "connections": len(self.listener.connections),
            "buffers": self.pool.lent, "unproven": len(self.dispatcher.commands.unacknowledged),
            "calls": self.dispatcher.calls.exchanges.open, "waits_to_accept": self.listener.waits,
            "lag_ms": round(self.lag * 1000, 1),
        }  # fmt: skip
        if manager is not None:
            running |= {
                "held": manager.counts[1], "running": manager.counts[2], "limit": round(manager.limit, 2),
                "cut": round(manager.threshold, 3), "errors": round(manager.error_rate, 3),
                "unread_ms": round(manager.lag / 1000, 1), "asking": len(manager.call_queue),
                "calling": manager.counts[4], "call_room": round(manager.call_limit, 1),
                "call_ms": round(manager.recent_call / 1000, 1),
                "call_usual_ms": round(manager.usual_call / 1000, 1),
            }  # fmt: skip
        if self.dispatcher.storm_monitor is not None:
            estimate = self.dispatcher.storm_monitor.update()
            running |= {
                "repeats": round(estimate.retry_share, 3), "tries": round(estimate.attempts, 2),
                "storm": estimate.storm, "sure": round(estimate.confidence, 2),
            }  # fmt: skip
        if self.together is not None:
            running |= self.together.figures()
        self.lag = 0.0
        if self.front.turned_down:
            running["turned_down"], self.front.turned_down = dict(self.front.turned_down), Counter()
        self.log.write("figures", **running, counts=dict(counts))
