"""One backend process: connects its parts, and runs it from start to drain."""

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

from crowwing.program.configuration import Configuration, ConfigurationError
from crowwing.program.front_end import FrontEnd
from crowwing.program.log import Log
from crowwing.program.reporter import Reporter
from crowwing.routing.dispatcher import Dispatcher
from crowwing.routing.event_recorder import EventRecorder
from crowwing.transport.buffer_pool import BufferPool
from crowwing.transport.descriptor_budget import DescriptorBudget
from crowwing.transport.listener import Listener

if TYPE_CHECKING:
    from types import SimpleNamespace

    from crowwing.routing.storm_monitor import StormMonitor


FIGURES_INTERVAL = 5.0  # seconds between `figures` lines, by default
RELOAD_RETRY_DELAY = 0.25  # seconds before reading an unreadable configuration again
# Seconds before the end of the drain at which the listener closes and, later, all connections must be gone.
CLOSE_BEFORE_END, FINISH_BEFORE_END = 0.25, 0.06
BIND_TIMEOUT, BIND_RETRY_DELAY = 5.0, 0.05  # seconds: while the address is in use, and between attempts
CANCEL_TIMEOUT = 0.05  # seconds that the process waits for cancelled tasks at its end


class Backend:
    """Also carries out the decision module's instructions that belong to no single request."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        configuration: Configuration,
        log: Log,
        read: Callable[[], Configuration],
        operator: "SimpleNamespace | None" = None,
        early_signals: Sequence[int] = (),
    ) -> None:
        """`early_signals`: SIGTERM and SIGINT received before the event loop handles signals."""
        self.early_signals = early_signals
        self.loop, self.configuration, self.log, self.read = loop, configuration, log, read
        records = operator.records if operator else None
        self.figures_interval = records.figures_every_ms / 1000 if records else FIGURES_INTERVAL
        # After a failed reload: the error message, and the timer of the next attempt.
        self.pending_reload: tuple[str, asyncio.TimerHandle] | None = None
        facts = configuration.facts
        self.recorder, self.pool = EventRecorder(log.write), BufferPool()
        budget = DescriptorBudget(configuration.sockets)
        shortest_target = min(kind.latency_target for kind in facts.classes) / 1e6
        self.front = FrontEnd(loop, self.recorder, configuration.names.deep_checks, shortest_target / 2)
        self.listener = Listener(loop, self.pool, budget.max_connections, self.front.new_connection)
        self.listener.idle_timeout = facts.max_idle_time / 1e6 or None
        self.reporter = Reporter(loop, configuration.control, self.pool, configuration.name, self.recorder)
        self.dispatcher = self.front.dispatcher = Dispatcher(
            loop, facts, configuration.names, configuration.seed, configuration.agent, configuration.below,
            budget.max_calls, self.pool, self.recorder, self,
        )  # fmt: skip
        if operator is not None and operator.storm is not None:
            self.dispatcher.storm_monitor = self._make_storm_monitor(operator.storm)
        self.fleet = None
        if operator is not None and getattr(operator, "fleet", None):  # UNSET and None both mean off
            from crowwing.fleet.adapters.endpoint import FleetEndpoint  # only if a fleet is configured

            self.fleet = FleetEndpoint(
                loop,
                operator.fleet,
                configuration.name,
                configuration.seed,
                self.recorder.event,
                self.caught_up,
            )
        self.fleet_services = None
        if self.fleet is not None and (
            operator.fleet.lends_calls
            or operator.fleet.shares_quota
            or operator.fleet.teaches
            or operator.fleet.shares_prints
        ):
            from crowwing.program.fleet_services import FleetServices

            self.fleet_services = FleetServices(
                self.fleet,
                self.dispatcher,
                configuration.names,
                operator.fleet,
                log.incarnation,
                self.recorder,
            )
        self.module_ready: bool | None = None  # None until the decision module reports
        self.fleet_catching_up = self.fleet is not None  # this member has not caught up yet
        self.drained = asyncio.Event()
        self.loop_lag = 0.0
        self.background_tasks: list[asyncio.Task] = []

    def _make_storm_monitor(self, storm: "SimpleNamespace") -> "StormMonitor":
        # Its libraries are loaded only if it is switched on.
        from crowwing.routing.storm_monitor import StormMonitor
        from crowwing.storm.retry_scheduler import RetryScheduler

        facts, span = self.configuration.facts, round(storm.window_s * 1e6)
        now, types, max_prints = self.dispatcher.now, len(facts.classes), storm.prints_most
        storm_monitor = StormMonitor(
            now, self.recorder, types, storm.prints, span, max_prints, storm.lowers_repeats
        )
        if storm.paces_returns:
            chance = random.Random(f"{self.configuration.seed}/returns")
            storm_monitor.retry_scheduler = RetryScheduler(now(), facts.max_retry_after, chance)
        self.front.retry_after = storm.retry_after
        return storm_monitor

    # Set by the decision module

    def ready(self, good: bool) -> None:
        self.module_ready = good
        self._update_readiness()

    def caught_up(self, good: bool) -> None:
        """Called by the fleet: a member that has not caught up is reported as not ready."""
        self.fleet_catching_up = not good
        if self.module_ready is not None:
            self._update_readiness()

    def _update_readiness(self) -> None:
        good = bool(self.module_ready) and not self.fleet_catching_up
        self.front.ready = good
        self.reporter.set_ready(good)
        self.recorder.event("ready" if good else "unready")

    def free_value(self, value: float) -> None:
        self.front.spare_capacity = value

    def idle(self, span: float) -> None:
        self.listener.idle_timeout = span / 1e6 or None

    # Life cycle

    async def run(self) -> None:
        """Returns when it has drained; raises OSError if the address cannot be bound."""
        self.loop.set_exception_handler(self._on_loop_exception)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.leave)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if self.early_signals:
            self.leave()
        await self._bind()
        if self.fleet is not None:
            await self.fleet.open()
        self.reload()  # a SIGHUP before this was ignored
        tasks = (
            self.listener.accept,
            self.dispatcher.commands.link.run,
            self.reporter.run,
            self._log_figures_regularly,
        )
        if self.fleet_services is not None:
            tasks = (*tasks, self.fleet_services.run)
        self.background_tasks += [self.loop.create_task(self._supervise(task)) for task in tasks]
        if self.listener.sock is not None:
            self.log.write("started", listen=self._listen_address(), sockets=self.configuration.sockets)
        gc.freeze()
        await self.drained.wait()
        for task in self.background_tasks:
            task.cancel()
        # Does not wait longer for a task that ignores its cancellation.
        await asyncio.wait(self.background_tasks, timeout=CANCEL_TIMEOUT)
        if self.fleet is not None:
            self._run_safely(self.fleet.close)
        self._run_safely(self.figures)
        self._run_safely(lambda: self.log.write("stopped"))
        self.listener.discard_unread()

    def _listen_address(self) -> str:
        return ":".join(map(str, self.configuration.listen))

    async def _bind(self) -> None:
        """Retries while the address is in use, since the previous process of this name may still be exiting.
        If another process keeps it, the error comes only after BIND_TIMEOUT. A drain ends the waiting."""
        until, logged = self.loop.time() + BIND_TIMEOUT, False
        while not self.front.draining:
            try:
                return self.listener.open(*self.configuration.listen)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or self.loop.time() > until:
                    raise
            if not logged:
                logged = True
                self.log.write("address_taken", listen=self._listen_address())
            await asyncio.sleep(BIND_RETRY_DELAY)

    async def _supervise(self, task: Callable[[], Coroutine]) -> None:
        """Runs a background task; an exception in it is logged, and it starts again."""
        while not self.drained.is_set():
            try:
                await task()
                return
            except Exception:
                self.recorder.defect(task.__qualname__, None)
                await asyncio.sleep(0.1)

    def _on_loop_exception(self, _: asyncio.AbstractEventLoop, context: dict) -> None:
        error = context.get("exception")
        trace = "".join(traceback.format_exception(error)) if error else ""
        self.recorder.event("stray_defect", message=str(context.get("message")), trace=trace)

    def reload(self) -> None:
        """Reads the configuration again. One that cannot be read changes nothing and is read again later."""
        before, self.pending_reload = self.pending_reload, None
        if before is not None:
            before[1].cancel()
        try:
            configuration, changed, fixed = self.configuration.reloaded_from(self.read())
        except ConfigurationError as error:
            if before is None or before[0] != str(error):
                self.log.write("not_reloaded", why=str(error))
            self.pending_reload = str(error), self.loop.call_later(RELOAD_RETRY_DELAY, self.reload)
            return
        self.configuration = configuration
        if changed or fixed:
            self.log.write("reloaded", changed=changed, cannot_change=fixed)
        self.dispatcher.change_addresses(self.configuration.agent, self.configuration.below)
        self.reporter.set_address(self.configuration.control)

    def leave(self) -> None:
        """Starts the drain; a second call has no effect."""
        if self.front.draining:
            return
        self.front.draining = True
        # First, so that the process ends by itself even if a step below fails.
        self.background_tasks.append(
            self.loop.create_task(self._drain(self.loop.time(), self.configuration.stop / 1e6))
        )
        self._run_safely(lambda: self.log.write("leaving", open=len(self.dispatcher.open_requests)))
        self._run_safely(lambda: self.dispatcher.drain(self.dispatcher.now() + self.configuration.stop))
        self._run_safely(self.listener.close_idle)
        if self.fleet is not None:
            self._run_safely(self.fleet.leave)

    def _run_safely(self, step: Callable[[], object]) -> None:
        """Runs one step of the shutdown, so that an exception in it does not stop the others."""
        try:
            step()
        except Exception:
            with suppress(Exception):  # the log itself may be failing
                self.recorder.defect("leaving", None)

    async def _drain(self, began: float, stop: float) -> None:
        """Serves what callers still send, until all have disconnected or the end of the drain is near."""
        grace, end = self.configuration.facts.drain_grace / 1e6, began + stop
        while self.dispatcher.manager is not None and self.loop.time() < end - CLOSE_BEFORE_END:
            answered = all(request.answered for request in self.dispatcher.open_requests.values())
            if answered and self.loop.time() > began + grace and not self.listener.connections:
                break
            await asyncio.sleep(0.01)
        self._run_safely(self.listener.close)
        try:
            await self.listener.finish(end - FINISH_BEFORE_END)
        except Exception:
            with suppress(Exception):
                self.recorder.defect("leaving", None)
        self.front.ending = True
        for _ in range(2):  # lets the readers pass on requests already read, which are answered at once
            await asyncio.sleep(0)
        self._run_safely(self.dispatcher.shut_down)
        for connection in list(self.listener.connections):
            self._run_safely(connection.end)
        self.drained.set()

    async def _log_figures_regularly(self) -> None:
        """Logs the figures regularly, and measures how late the event loop runs."""
        next_figures = self.loop.time() + self.figures_interval
        while True:
            due = self.loop.time() + 0.1
            await asyncio.sleep(0.1)
            self.loop_lag = max(self.loop_lag, self.loop.time() - due)
            if self.loop.time() >= next_figures:
                next_figures += self.figures_interval
                self.figures()

    def figures(self) -> None:
        manager, counts = self.dispatcher.manager, self.recorder.counts
        running = {
            "open": len(self.dispatcher.open_requests), "connections": len(self.listener.connections),
            "buffers": self.pool.in_use, "unproven": len(self.dispatcher.commands.unacknowledged),
            "calls": self.dispatcher.calls.exchanges.open, "waits_to_accept": self.listener.accept_waits,
            "lag_ms": round(self.loop_lag * 1000, 1),
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
        if self.fleet_services is not None:
            running |= self.fleet_services.figures()
        self.loop_lag = 0.0
        if self.front.bad_requests_by_reason:
            running["turned_down"], self.front.bad_requests_by_reason = (
                dict(self.front.bad_requests_by_reason),
                Counter(),
            )
        self.log.write("figures", **running, counts=dict(counts))
