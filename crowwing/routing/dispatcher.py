"""Owns the manager, the clock and the open requests, and lets the module decide once a loop turn.

News is kept as it comes and handed in together at the loop's next pass, at one reading of the clock, followed
by one turn() of the module, whose steps are carried out in order. Nothing else calls the module.
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
from crowwing.protocol import agent
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
from crowwing.transport.pool import BufferPool

if TYPE_CHECKING:
    from crowwing.routing.storm_monitor import StormMonitor

AGAIN = 0.02  # seconds to the next turn after one that failed
ENDS = {"OK": Outcome.GOOD, "ERROR": Outcome.FAILED, "STOPPED": Outcome.STOPPED, "MOOT": Outcome.NEVER_RAN}


class Outward(Protocol):
    """What the module sets beyond single tickets."""

    def ready(self, good: bool) -> None:
        """Health checks are answered good or bad from now on."""
        ...

    def free_value(self, value: float) -> None:
        """What callers are told of the spare capacity."""
        ...

    def idle(self, span: float) -> None:
        """Connections that carry nothing are closed after `span` microseconds."""
        ...


class Dispatcher:
    """Owner of the open requests and of the decision module. Made by the program; its front calls it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        facts: ServerFacts,
        names: WireNames,
        seed: int,
        farm: tuple[str, int],
        below: tuple[str, int] | None,
        calls_most: int,
        pool: BufferPool,
        recorder: EventRecorder,
        outward: Outward,
    ) -> None:
        """Nothing is open; the module is made once the worker agent greets."""
        self.loop, self.facts, self.names, self.seed, self.recorder = loop, facts, names, seed, recorder
        self.manager: LoadManager | None = None  # from the farm agent's greeting on
        self.open_requests: dict[
            str, OpenRequest
        ] = {}  # open tickets by id; emptied as the module closes them
        self.news: list[tuple[Callable, OpenRequest | None, tuple]] = []  # emptied by each turn
        self.repeats = RetryTable(lambda request, result: self._hear(self._shared, request, result))
        self.storm_monitor: StormMonitor | None = None  # where the operator wants storms seen
        self.came: Counter[int] | None = None  # tickets by customer, where a fleet shares its quotas
        self.clock = 0
        self.due = False  # a turn is on its way
        self.resolver, self.relay = RequestResolver(names, facts), ResponseRelay(recorder, self._answered)
        patience = min(kind.latency_target for kind in facts.classes) / 1e6
        self.send = WorkerCommands(loop, farm, pool, recorder, self._notice, patience)
        self.call = BackendCalls(loop, below, pool, calls_most, recorder, self._reply)
        self.wake = WakeTimer(loop, self.now, self.send, recorder, lambda: self._hear(self._nothing, None))
        self.check = HealthProbe(loop, self.send)
        by_ticket: dict[Step, Callable] = {
            Step.RUN: self._run,
            Step.HALT: self.send.freeze,
            Step.CALL: self.call.begin,
            Step.KEEP: lambda request, span: self.repeats.keep(request, self.clock + round(span)),
            Step.FORGET: lambda request, _: self.repeats.forget(request),
            Step.SHARE: lambda request, _: self.repeats.share(request),
            Step.DISMISS: lambda request, away: self.relay.dismiss(request, self._away(request, away)),
            Step.DISMISS_ALL: lambda request, away: self.relay.dismiss_all(
                request, self._away(request, away)
            ),
            Step.FORFEIT: self.relay.forfeit,
        }
        outward_steps: dict[Step, Callable] = {
            Step.READY: lambda _: outward.ready(True),
            Step.UNREADY: lambda _: outward.ready(False),
            Step.FREE_VALUE: outward.free_value,
            Step.IDLE: outward.idle,
            Step.WAKE: self.wake.ask,
        }
        self.route = StepRouter(self.open_requests, by_ticket, outward_steps, recorder, self._abandon)

    def now(self) -> int:
        """The system's clock; for the module it never runs backward."""
        self.clock = max(self.clock, time.time_ns() // 1000)
        return self.clock

    # What comes in

    def arrive(self, arrival: Arrival, caller: Caller) -> OpenRequest | None:
        """Raises NoTicket for what is none; None where it was answered on the spot."""
        kind, team = self.resolver.place(arrival, self.now())
        known, work = self.open_requests.get(arrival.id), work_of(arrival, kind, team)
        if self.manager is None:
            caller.dismissed(0, False)  # nothing can run before the farm agent is up
        elif known is None and (ended := self.repeats.again(arrival, work)) is not None:
            self.recorder.count("answered_again")  # it ran, and must not twice
            caller.forfeited() if ended.result is None else caller.settled(ended.result)
        elif known is None:
            labelled = self.facts.classes[kind].idempotency is Idempotency.KEYED
            request = OpenRequest(arrival, caller, work)
            repeats = self.repeats.first(request, min(self.now(), arrival.arrived)) if labelled else ""
            self.recorder.count("had")
            self.open_requests[arrival.id] = request
            self._hear(self._admit, request, arrival, kind, team, repeats)
            return request
        elif not known.same(arrival):
            # Guards against one that makes itself party to the ticket of another. Harms nobody: a sidecar
            # that sends a try again after a crossed close sends the same.
            raise InvalidRequestError("the id of another open ticket")
        elif known.answered:
            caller.forfeited()  # its run is still on
        else:
            self.recorder.count("joined")
            known.callers.append(caller)
            return known
        return None

    def gone(self, request: OpenRequest, caller: Caller) -> None:
        """The caller's connection was reset: no answer can reach it."""
        self._hear(self._gone, request, caller)

    def move(self, farm: tuple[str, int], below: tuple[str, int] | None) -> None:
        """The farm agent and what lies below have new addresses; runs and calls go on."""
        self.send.link.move(farm)
        self.call.exchanges.move(below)

    def leave(self, stop: int) -> None:
        """The notice to leave; `stop` is when the process is ended."""
        if self.manager is not None:
            self._hear(lambda now, request: self.manager.drain(now, stop), None)

    def end(self) -> None:
        """The process ends now. Guards against a loop held up for so long that the module had no turn."""
        for request in [request for request in self.open_requests.values() if not request.answered]:
            self.recorder.count("forfeited_at_the_end")
            self._abandon(request)

    def _notice(self, notice: agent.Notice) -> None:
        self._hear(self._farm_news, None, notice)

    def _reply(self, request: OpenRequest, took: int, outcome: Outcome, body: bytes) -> None:
        self._hear(self._called, request, took, outcome, body)

    def _away(self, request: OpenRequest, away: float) -> float:
        """What a dismissal tells its caller, which a storm may pace."""
        if self.storm_monitor is not None:
            try:
                brings = self.manager.caller_weights.get(request.by, 1.0)
                return self.storm_monitor.retry_after(
                    request.by, brings, round(away), request.handle.deadline
                )
            except Exception:
                self._blind("returns", request)
        return away

    def _answered(self, request: OpenRequest, good: bool) -> None:
        """A final answer went out."""
        if self.storm_monitor is not None:
            try:
                self.storm_monitor.record_outcome(request.likeness, good)
            except Exception:
                self._blind("lookout", request)

    def _blind(self, where: str, request: OpenRequest) -> None:
        """Guards tickets against a defect of the sight: it is given up, and they go on without."""
        self.recorder.defect(where, request.id)
        self.storm_monitor = None

    # The turn

    def _hear(self, what: Callable, request: OpenRequest | None, *given: object) -> None:
        self.news.append((what, request, given))
        if not self.due:
            self.due = True
            self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        self.due = False
        news, self.news = self.news, []
        now = self.now()
        for what, request, given in news:
            try:
                if results := what(now, request, *given):
                    self.route.carry_out(results)
            except Exception:
                self.recorder.defect(what.__name__, request.id if request else None)
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
            self.recorder.holds(
                len(self.open_requests) == len(self.manager.requests), "the desk's tickets are the module's"
            )
        self.repeats.expire(now)

    def _decide(self, now: int) -> None:
        """Guards against a ticket that the module or a stage fails on: it is given up, the others go on."""
        try:
            self.route.carry_out(self.manager.decide(now))
            return
        except Exception:
            self.recorder.defect("turn", None)
        self.manager.arrivals.clear()
        overdue = [
            s
            for s in self.open_requests.values()
            if s.handle and (now >= s.handle.deadline or s.handle.state == NEW)
        ]
        for request in overdue:
            self._abandon(request)
        self.loop.call_later(AGAIN, self._hear, self._nothing, None)

    def _abandon(self, request: OpenRequest) -> None:
        """Forfeits a ticket whose handling failed, and makes the module and the farm agent let go of it."""
        if not request.answered:
            self.relay.forfeit(request)
        self.call.give_up(request)
        if request.launched:
            self.send.freeze(request)
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
        if not self.recorder.holds(request.answered, "closed without an answer"):
            self.relay.forfeit(request)
        self.call.give_up(request)
        request.launched = False
        if self.open_requests.get(request.id) is request:
            del self.open_requests[request.id]
        self.repeats.closed(request)

    # News, each handed in at the turn's reading of the clock

    def _nothing(self, now: int, _: None) -> None:
        """No news, but a turn."""

    def _admit(
        self, now: int, request: OpenRequest, arrival: Arrival, kind: int, team: int, repeats: str
    ) -> None:
        again = False
        if self.came is not None:
            self.came[team] += 1
        if self.storm_monitor is not None:
            request.by = arrival.sidecar
            try:
                request.likeness, again = self.storm_monitor.record_arrival(arrival, kind)
            except Exception:
                self._blind("lookout", request)
        admit(self.manager, now, request, arrival, kind, team, repeats, again)

    def _run(self, request: OpenRequest, _: float = 0) -> None:
        self.repeats.began(request, self.clock)
        self.send.launch(request)

    def _shared(self, now: int, request: OpenRequest, result: bytes | None) -> list | None:
        """The run that this ticket shares is over."""
        if request.answered or self.open_requests.get(request.id) is not request:
            return None  # its own time was up before
        if result is not None:
            self.relay.settle(request, result)
        else:
            self.relay.forfeit(request)
        return request.handle.run_ended(now, 0, Outcome.FAILED if result is None else Outcome.GOOD)

    def _gone(self, now: int, request: OpenRequest, caller: Caller) -> list | None:
        if caller in request.callers:
            request.callers.remove(caller)
        if request.callers or request.answered or self.open_requests.get(request.id) is not request:
            return None
        self.recorder.count("gone")
        request.answered, request.body = True, b""
        return request.handle.caller_gone(now)

    def _called(
        self, now: int, request: OpenRequest, took: int, outcome: Outcome, body: bytes
    ) -> list | None:
        if not request.launched or request.wanted is None:
            return None
        if outcome is Outcome.GOOD:
            self.send.deliver(request, body)
            request.wanted = None
        return request.handle.call_ended(now, took, outcome)

    def _farm_news(self, now: int, _: None, notice: agent.Notice) -> list | None:
        match notice:
            case agent.Ended():
                return self._per_ticket(self._ended, now, notice)
            case agent.Wants():
                return self._per_ticket(self._wants, now, notice)
            case agent.Sampled():
                if self.wake.sampled(notice.tag):
                    return self.manager.on_timer(
                        now, dict(zip(self.names.gauges, notice.gauges, strict=False))
                    )
            case agent.Exercised():
                self.check.answered(notice.tag, notice.good)
            case agent.Greeting():
                return self._greeted(now, notice)
            case agent.Refusal():
                self.recorder.event("agent_refusal", command=notice.command, id=notice.id)
                request = self.open_requests.get(notice.id)
                if notice.command == "launch" and request is not None and request.launched:
                    # It never ran, whatever was wrong with it: that says nothing of errors here.
                    return self._per_ticket(self._ended, now, agent.Ended(0, request.id, "MOOT", 0, b""))
        return None

    def _per_ticket(self, what: Callable, now: int, notice: agent.Ended | agent.Wants) -> list | None:
        request = self.open_requests.get(notice.id)
        if request is None or not request.launched:
            return None  # news of a ticket that is over
        try:
            return what(now, request, notice)
        except Exception:
            self.recorder.defect(what.__name__, request.id)
            self._abandon(request)
            return None

    def _greeted(self, now: int, notice: agent.Greeting) -> list | None:
        self.send.greeting()
        if self.manager is not None:
            return None
        self.recorder.event("greeted", cold=notice.cold, age_ms=notice.age // 1000)
        facts = dataclasses.replace(self.facts, cold=notice.cold)
        self.manager = LoadManager(facts, now - notice.age, random.Random(self.seed))
        return self.manager.begin(now)

    def _ended(self, now: int, request: OpenRequest, notice: agent.Ended) -> list:
        request.launched, request.wanted = False, None
        end = notice.end
        if (
            end == "STOPPED"
            and not request.answered
            and request.handle.cls.idempotency is not Idempotency.IDEMPOTENT
        ):
            # Guards against a run that was stopped though nobody asked: held again, it would run twice.
            end = "ERROR"
        self.repeats.ended(request, end == "OK", end != "MOOT", notice.result)
        self.call.give_up(request)
        if not request.answered:
            if end == "OK":
                self.relay.settle(request, notice.result)
            elif end != "STOPPED":
                self.relay.forfeit(request)
        return request.handle.run_ended(now, notice.took, ENDS[end])

    def _wants(self, now: int, request: OpenRequest, notice: agent.Wants) -> list:
        request.asks += 1
        request.wanted = notice.body
        return request.handle.call_needed(now)
