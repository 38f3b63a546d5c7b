"""Owns the decision module, the clock and the open requests, and runs the module once per event loop turn.

Updates are queued as they come and handed to the module together in the next pass of the event loop, with one
reading of the clock. One turn() of the module follows, whose steps are carried out in order. Nothing else
calls the module.
"""

import asyncio
import dataclasses
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from crowwing.contract import Idempotency, Outcome, ServerFacts, Step, WireNames
from crowwing.logic.load_manager import LoadManager
from crowwing.logic.request import NEW
from crowwing.protocol import worker_agent
from crowwing.protocol.arrival import Arrival
from crowwing.routing.backend_calls import BackendCalls
from crowwing.routing.event_recorder import EventRecorder
from crowwing.routing.health_probe import HealthProbe
from crowwing.routing.open_request import Caller, OpenRequest
from crowwing.routing.request_admission import admit
from crowwing.routing.request_resolver import InvalidRequestError, RequestResolver
from crowwing.routing.response_relay import ResponseRelay
from crowwing.routing.retry_table import RetryTable, work_of
from crowwing.routing.step_router import StepRouter
from crowwing.routing.wake_timer import WakeTimer
from crowwing.routing.worker_commands import WorkerCommands
from crowwing.transport.buffer_pool import BufferPool

if TYPE_CHECKING:
    from crowwing.routing.storm_monitor import StormMonitor

TURN_RETRY = 0.02  # seconds until the next turn after one that raised an exception
OUTCOMES = {
    "OK": Outcome.GOOD,
    "ERROR": Outcome.FAILED,
    "STOPPED": Outcome.STOPPED,
    "MOOT": Outcome.NEVER_RAN,
}


class ServerControl(Protocol):
    """The settings of the server that the decision module changes."""

    def ready(self, good: bool) -> None:
        """Sets whether health checks are answered good or bad."""
        ...

    def free_value(self, value: float) -> None:
        """Sets the spare capacity that is reported to callers."""
        ...

    def idle(self, span: float) -> None:
        """Sets the time in microseconds after which idle connections are closed."""
        ...


class Dispatcher:
    """Owns the open requests and the decision module. The program creates it; its HTTP front end calls it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        facts: ServerFacts,
        names: WireNames,
        seed: int,
        agent_address: tuple[str, int],
        downstream_address: tuple[str, int] | None,
        max_calls: int,
        pool: BufferPool,
        recorder: EventRecorder,
        server_control: ServerControl,
    ) -> None:
        """Starts without requests; the decision module is created at the worker agent's greeting."""
        self.loop, self.facts, self.names, self.seed, self.recorder = loop, facts, names, seed, recorder
        self.manager: LoadManager | None = None  # set at the worker agent's greeting
        # By id; removed as the module closes them.
        self.open_requests: dict[str, OpenRequest] = {}
        self.pending_updates: list[tuple[Callable, OpenRequest | None, tuple]] = []  # cleared in each turn
        self.retry_table = RetryTable(
            lambda request, result: self._enqueue(self._run_shared, request, result)
        )
        self.storm_monitor: StormMonitor | None = None  # set if the operator file enables it
        # Set if the fleet shares quotas.
        self.arrivals_by_customer: Counter[int] | None = None
        self.clock = 0
        self.turn_scheduled = False
        self.resolver, self.relay = RequestResolver(names, facts), ResponseRelay(recorder, self._on_answer)
        agent_timeout = min(cls.latency_target for cls in facts.classes) / 1e6
        self.commands = WorkerCommands(loop, agent_address, pool, recorder, self._on_notice, agent_timeout)
        self.calls = BackendCalls(loop, downstream_address, pool, max_calls, recorder, self._on_call_ended)
        self.wake_timer = WakeTimer(
            loop, self.now, self.commands, recorder, lambda: self._enqueue(self._no_update, None)
        )
        self.health_probe = HealthProbe(loop, self.commands)
        request_steps: dict[Step, Callable] = {
            Step.RUN: self._run,
            Step.HALT: self.commands.freeze,
            Step.CALL: self.calls.begin,
            Step.KEEP: lambda request, span: self.retry_table.keep(request, self.clock + round(span)),
            Step.FORGET: lambda request, _: self.retry_table.drop(request),
            Step.SHARE: lambda request, _: self.retry_table.share(request),
            Step.DISMISS: lambda request, retry_after: self.relay.reject(
                request, self._retry_after(request, retry_after)
            ),
            Step.DISMISS_ALL: lambda request, retry_after: self.relay.reject_all(
                request, self._retry_after(request, retry_after)
            ),
            Step.FORFEIT: self.relay.fail,
        }
        server_steps: dict[Step, Callable] = {
            Step.READY: lambda _: server_control.ready(True),
            Step.UNREADY: lambda _: server_control.ready(False),
            Step.FREE_VALUE: server_control.free_value,
            Step.IDLE: server_control.idle,
            Step.WAKE: self.wake_timer.schedule,
        }
        self.router = StepRouter(self.open_requests, request_steps, server_steps, recorder, self._abandon)

    def now(self) -> int:
        """The system clock in microseconds; never goes back."""
        self.clock = max(self.clock, time.time_ns() // 1000)
        return self.clock

    # Input

    def arrive(self, arrival: Arrival, caller: Caller) -> OpenRequest | None:
        """Takes in a request; returns None if it was answered at once.

        Raises InvalidRequestError for a request that can't be served here.
        """
        class_id, customer = self.resolver.resolve(arrival, self.now())
        open_request, work = self.open_requests.get(arrival.id), work_of(arrival, class_id, customer)
        if self.manager is None:
            caller.rejected(0, False)  # nothing can run before the worker agent is up
        elif open_request is None and (finished := self.retry_table.find_finished(arrival, work)) is not None:
            self.recorder.count("answered_again")  # it has run and must not run twice
            caller.failed() if finished.result is None else caller.completed(finished.result)
        elif open_request is None:
            keyed = self.facts.classes[class_id].idempotency is Idempotency.KEYED
            request = OpenRequest(arrival, caller, work)
            earlier_id = (
                self.retry_table.find_earlier(request, min(self.now(), arrival.arrived)) if keyed else ""
            )
            self.recorder.count("had")
            self.open_requests[arrival.id] = request
            self._enqueue(self._admit, request, arrival, class_id, customer, earlier_id)
            return request
        elif not open_request.same(arrival):
            # Keeps a caller from joining the request of another under its id. A sidecar that sends an attempt
            # again, because the connection was closed while it was sent, sends the same content.
            raise InvalidRequestError("the id of another open ticket")
        elif open_request.answered:
            caller.failed()  # its run has not ended yet
        else:
            self.recorder.count("joined")
            open_request.callers.append(caller)
            return open_request
        return None

    def caller_gone(self, request: OpenRequest, caller: Caller) -> None:
        """The caller's connection was reset, so no answer can reach it."""
        self._enqueue(self._caller_gone, request, caller)

    def change_addresses(
        self, agent_address: tuple[str, int], downstream_address: tuple[str, int] | None
    ) -> None:
        """Sets new addresses of the worker agent and the downstream service; runs and calls continue."""
        self.commands.link.set_address(agent_address)
        self.calls.exchanges.set_address(downstream_address)

    def drain(self, stop: int) -> None:
        """Starts to drain; `stop` is the time in microseconds at which the process will be stopped."""
        if self.manager is not None:
            self._enqueue(lambda now, request: self.manager.drain(now, stop), None)

    def shut_down(self) -> None:
        """Fails the requests that are still open when the process ends.

        There are some if the event loop was blocked for so long that the module had no turn.
        """
        for request in [request for request in self.open_requests.values() if not request.answered]:
            self.recorder.count("forfeited_at_the_end")
            self._abandon(request)

    def _on_notice(self, notice: worker_agent.Notice) -> None:
        self._enqueue(self._on_agent_notice, None, notice)

    def _on_call_ended(self, request: OpenRequest, took: int, outcome: Outcome, body: bytes) -> None:
        self._enqueue(self._call_ended, request, took, outcome, body)

    def _retry_after(self, request: OpenRequest, retry_after: float) -> float:
        """The retry-after time of a rejected request in microseconds, spread out in a retry storm."""
        if self.storm_monitor is not None:
            try:
                caller_rate = self.manager.caller_weights.get(request.by, 1.0)
                return self.storm_monitor.retry_after(
                    request.by, caller_rate, round(retry_after), request.handle.deadline
                )
            except Exception:
                self._disable_storm_monitor("returns", request)
        return retry_after

    def _on_answer(self, request: OpenRequest, good: bool) -> None:
        """Reports a final answer to the storm monitor."""
        if self.storm_monitor is not None:
            try:
                self.storm_monitor.record_outcome(request.likeness, good)
            except Exception:
                self._disable_storm_monitor("lookout", request)

    def _disable_storm_monitor(self, where: str, request: OpenRequest) -> None:
        """Switches off the storm monitor after an exception in it, so that it can't affect requests."""
        self.recorder.defect(where, request.id)
        self.storm_monitor = None

    # The turn

    def _enqueue(self, handler: Callable, request: OpenRequest | None, *arguments: object) -> None:
        self.pending_updates.append((handler, request, arguments))
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self.turn_scheduled = False
        updates, self.pending_updates = self.pending_updates, []
        now = self.now()
        for handler, request, arguments in updates:
            try:
                if results := handler(now, request, *arguments):
                    self.router.carry_out(results)
            except Exception:
                self.recorder.defect(handler.__name__, request.id if request else None)
                if request is not None:
                    self._abandon(request)
        if self.manager is not None:
            self._decide(now)
            if len(self.open_requests) != len(self.manager.requests):
                for request in [
                    request
                    for request in self.open_requests.values()
                    if request.handle and request.handle.closed
                ]:
                    self._close(request)
            self.recorder.verify(
                len(self.open_requests) == len(self.manager.requests), "the desk's tickets are the module's"
            )
        self.retry_table.expire(now)

    def _decide(self, now: int) -> None:
        """Runs one turn of the module.

        If that fails, abandons the new and the overdue requests, of which one may be the cause; the others
        continue.
        """
        try:
            self.router.carry_out(self.manager.decide(now))
            return
        except Exception:
            self.recorder.defect("turn", None)
        self.manager.arrivals.clear()
        overdue = [
            request
            for request in self.open_requests.values()
            if request.handle and (now >= request.handle.deadline or request.handle.state == NEW)
        ]
        for request in overdue:
            self._abandon(request)
        self.loop.call_later(TURN_RETRY, self._enqueue, self._no_update, None)

    def _abandon(self, request: OpenRequest) -> None:
        """Fails a request after an exception; removes it from the module and stops its run."""
        if not request.answered:
            self.relay.fail(request)
        self.calls.cancel(request)
        if request.launched:
            self.commands.freeze(request)
        handle = request.handle
        if handle is not None and not handle.closed:
            handle.answered = True
            try:
                self.manager.close(handle)
            except Exception:
                self.recorder.defect("close", request.id)
                handle.closed = True
                self.manager.requests.pop(request.id, None)
        self._close(request)

    def _close(self, request: OpenRequest) -> None:
        if not self.recorder.verify(request.answered, "closed without an answer"):
            self.relay.fail(request)
        self.calls.cancel(request)
        request.launched = False
        if self.open_requests.get(request.id) is request:
            del self.open_requests[request.id]
        self.retry_table.request_closed(request)

    # Updates, each with the turn's reading of the clock

    def _no_update(self, now: int, _: None) -> None:
        """Does nothing; queued to cause a turn."""

    def _admit(
        self, now: int, request: OpenRequest, arrival: Arrival, class_id: int, customer: int, earlier_id: str
    ) -> None:
        likely_retry = False
        if self.arrivals_by_customer is not None:
            self.arrivals_by_customer[customer] += 1
        if self.storm_monitor is not None:
            request.by = arrival.sidecar
            try:
                request.likeness, likely_retry = self.storm_monitor.record_arrival(arrival, class_id)
            except Exception:
                self._disable_storm_monitor("lookout", request)
        admit(self.manager, now, request, arrival, class_id, customer, earlier_id, likely_retry)

    def _run(self, request: OpenRequest, _: float = 0) -> None:
        self.retry_table.run_started(request, self.clock)
        self.commands.launch(request)

    def _run_shared(self, now: int, request: OpenRequest, result: bytes | None) -> list | None:
        """The run that this request shares has ended."""
        if request.answered or self.open_requests.get(request.id) is not request:
            return None  # already answered at its own deadline
        if result is not None:
            self.relay.complete(request, result)
        else:
            self.relay.fail(request)
        return request.handle.run_ended(now, 0, Outcome.FAILED if result is None else Outcome.GOOD)

    def _caller_gone(self, now: int, request: OpenRequest, caller: Caller) -> list | None:
        if caller in request.callers:
            request.callers.remove(caller)
        if request.callers or request.answered or self.open_requests.get(request.id) is not request:
            return None
        self.recorder.count("gone")
        request.answered, request.body = True, b""
        return request.handle.caller_gone(now)

    def _call_ended(
        self, now: int, request: OpenRequest, took: int, outcome: Outcome, body: bytes
    ) -> list | None:
        if not request.launched or request.wanted is None:
            return None
        if outcome is Outcome.GOOD:
            self.commands.deliver(request, body)
            request.wanted = None
        return request.handle.call_ended(now, took, outcome)

    def _on_agent_notice(self, now: int, _: None, notice: worker_agent.Notice) -> list | None:
        match notice:
            case worker_agent.RunEnded():
                return self._for_request(self._run_ended, now, notice)
            case worker_agent.CallRequested():
                return self._for_request(self._wants_call, now, notice)
            case worker_agent.Sampled():
                if self.wake_timer.on_sample(notice.tag):
                    return self.manager.on_timer(
                        now, dict(zip(self.names.gauges, notice.gauges, strict=False))
                    )
            case worker_agent.Exercised():
                self.health_probe.on_answer(notice.tag, notice.succeeded)
            case worker_agent.Greeting():
                return self._greeted(now, notice)
            case worker_agent.Refusal():
                self.recorder.event("agent_refusal", command=notice.command, id=notice.id)
                request = self.open_requests.get(notice.id)
                if notice.command == "launch" and request is not None and request.launched:
                    # It never ran, whatever the reason, so it does not count as an error of this backend.
                    return self._for_request(
                        self._run_ended, now, worker_agent.RunEnded(0, request.id, "MOOT", 0, b"")
                    )
        return None

    def _for_request(
        self, handler: Callable, now: int, notice: worker_agent.RunEnded | worker_agent.CallRequested
    ) -> list | None:
        request = self.open_requests.get(notice.id)
        if request is None or not request.launched:
            return None  # the request has already ended
        try:
            return handler(now, request, notice)
        except Exception:
            self.recorder.defect(handler.__name__, request.id)
            self._abandon(request)
            return None

    def _greeted(self, now: int, notice: worker_agent.Greeting) -> list | None:
        self.commands.on_greeting()
        if self.manager is not None:
            return None
        self.recorder.event("greeted", cold=notice.cold, age_ms=notice.age // 1000)
        facts = dataclasses.replace(self.facts, cold=notice.cold)
        self.manager = LoadManager(facts, now - notice.age, random.Random(self.seed))
        return self.manager.begin(now)

    def _run_ended(self, now: int, request: OpenRequest, notice: worker_agent.RunEnded) -> list:
        request.launched, request.wanted = False, None
        end = notice.outcome
        if (
            end == "STOPPED"
            and not request.answered
            and request.handle.cls.idempotency is not Idempotency.IDEMPOTENT
        ):
            # A run that stopped without a request to stop counts as failed: queued again, it would run twice.
            end = "ERROR"
        self.retry_table.run_ended(request, end == "OK", end != "MOOT", notice.result)
        self.calls.cancel(request)
        if not request.answered:
            if end == "OK":
                self.relay.complete(request, notice.result)
            elif end != "STOPPED":
                self.relay.fail(request)
        return request.handle.run_ended(now, notice.duration, OUTCOMES[end])

    def _wants_call(self, now: int, request: OpenRequest, notice: worker_agent.CallRequested) -> list:
        request.asks += 1
        request.wanted = notice.body
        return request.handle.call_needed(now)
