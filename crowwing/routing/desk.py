"""The desk: owns the manager, the clock and the open tickets, and lets the module decide once a loop turn.

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

from crowwing.contract import Names, Outcome, Premises, Repeat, Step
from crowwing.logic.manager import LoadManager
from crowwing.logic.request import RequestState
from crowwing.protocol import agent
from crowwing.protocol.arrival import Arrival
from crowwing.routing.admit import admit
from crowwing.routing.book import Book
from crowwing.routing.call import Call
from crowwing.routing.check import Check
from crowwing.routing.relay import Relay
from crowwing.routing.repeats import Repeats, work_of
from crowwing.routing.route import Route
from crowwing.routing.send import Send
from crowwing.routing.slip import Caller, Slip
from crowwing.routing.take_in import NoTicket, TakeIn
from crowwing.routing.wake import Wake
from crowwing.transport.pool import BufferPool

if TYPE_CHECKING:
    from crowwing.routing.lookout import Lookout

AGAIN = 0.02  # seconds to the next turn after one that failed
ENDS = {"OK": Outcome.GOOD, "ERROR": Outcome.FAILED, "STOPPED": Outcome.STOPPED, "MOOT": Outcome.NEVER_RAN}


class Outward(Protocol):
    """What the module sets beyond single tickets."""

    def ready(self, good: bool) -> None: ...

    def free_value(self, value: float) -> None: ...

    def idle(self, span: float) -> None: ...


class Desk:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        facts: Premises,
        names: Names,
        seed: int,
        farm: tuple[str, int],
        below: tuple[str, int] | None,
        calls_most: int,
        pool: BufferPool,
        book: Book,
        outward: Outward,
    ) -> None:
        self.loop, self.facts, self.names, self.seed, self.book = loop, facts, names, seed, book
        self.manager: LoadManager | None = None  # from the farm agent's greeting on
        self.slips: dict[str, Slip] = {}  # open tickets by id; emptied as the module closes them
        self.news: list[tuple[Callable, Slip | None, tuple]] = []  # emptied by each turn
        self.repeats = Repeats(lambda slip, result: self._hear(self._shared, slip, result))
        self.lookout: Lookout | None = None  # where the operator wants storms seen
        self.came: Counter[int] | None = None  # tickets by customer, where a fleet shares its quotas
        self.clock = 0
        self.due = False  # a turn is on its way
        self.take_in, self.relay = TakeIn(names, facts), Relay(book, self._answered)
        patience = min(kind.expected_time for kind in facts.types) / 1e6
        self.send = Send(loop, farm, pool, book, self._notice, patience)
        self.call = Call(loop, below, pool, calls_most, book, self._reply)
        self.wake = Wake(loop, self.now, self.send, book, lambda: self._hear(self._nothing, None))
        self.check = Check(loop, self.send)
        by_ticket: dict[Step, Callable] = {
            Step.RUN: self._run,
            Step.HALT: self.send.freeze,
            Step.CALL: self.call.begin,
            Step.KEEP: lambda slip, span: self.repeats.keep(slip, self.clock + round(span)),
            Step.FORGET: lambda slip, _: self.repeats.forget(slip),
            Step.SHARE: lambda slip, _: self.repeats.share(slip),
            Step.DISMISS: lambda slip, away: self.relay.dismiss(slip, self._away(slip, away)),
            Step.DISMISS_ALL: lambda slip, away: self.relay.dismiss_all(slip, self._away(slip, away)),
            Step.FORFEIT: self.relay.forfeit,
        }
        outward_steps: dict[Step, Callable] = {
            Step.READY: lambda _: outward.ready(True),
            Step.UNREADY: lambda _: outward.ready(False),
            Step.FREE_VALUE: outward.free_value,
            Step.IDLE: outward.idle,
            Step.WAKE: self.wake.ask,
        }
        self.route = Route(self.slips, by_ticket, outward_steps, book, self._abandon)

    def now(self) -> int:
        """The system's clock; for the module it never runs backward."""
        self.clock = max(self.clock, time.time_ns() // 1000)
        return self.clock

    # What comes in

    def arrive(self, arrival: Arrival, caller: Caller) -> Slip | None:
        """Raises NoTicket for what is none; None where it was answered on the spot."""
        kind, team = self.take_in.place(arrival, self.now())
        known, work = self.slips.get(arrival.id), work_of(arrival, kind, team)
        if self.manager is None:
            caller.dismissed(0, False)  # nothing can run before the farm agent is up
        elif known is None and (ended := self.repeats.again(arrival, work)) is not None:
            self.book.count("answered_again")  # it ran, and must not twice
            caller.forfeited() if ended.result is None else caller.settled(ended.result)
        elif known is None:
            labelled = self.facts.types[kind].repeat is Repeat.LABELLED
            slip = Slip(arrival, caller, work)
            repeats = self.repeats.first(slip, min(self.now(), arrival.arrived)) if labelled else ""
            self.book.count("had")
            self.slips[arrival.id] = slip
            self._hear(self._admit, slip, arrival, kind, team, repeats)
            return slip
        elif not known.same(arrival):
            # Guards against one that makes itself party to the ticket of another. Harms nobody: a sidecar
            # that sends a try again after a crossed close sends the same.
            raise NoTicket("the id of another open ticket")
        elif known.answered:
            caller.forfeited()  # its run is still on
        else:
            self.book.count("joined")
            known.callers.append(caller)
            return known
        return None

    def gone(self, slip: Slip, caller: Caller) -> None:
        """The caller's connection was reset: no answer can reach it."""
        self._hear(self._gone, slip, caller)

    def move(self, farm: tuple[str, int], below: tuple[str, int] | None) -> None:
        """The farm agent and what lies below have new addresses; runs and calls go on."""
        self.send.link.move(farm)
        self.call.exchanges.move(below)

    def leave(self, stop: int) -> None:
        """The notice to leave; `stop` is when the process is ended."""
        if self.manager is not None:
            self._hear(lambda now, slip: self.manager.leave(now, stop), None)

    def end(self) -> None:
        """The process ends now. Guards against a loop held up for so long that the module had no turn."""
        for slip in [slip for slip in self.slips.values() if not slip.answered]:
            self.book.count("forfeited_at_the_end")
            self._abandon(slip)

    def _notice(self, notice: agent.Notice) -> None:
        self._hear(self._farm_news, None, notice)

    def _reply(self, slip: Slip, took: int, outcome: Outcome, body: bytes) -> None:
        self._hear(self._called, slip, took, outcome, body)

    def _away(self, slip: Slip, away: float) -> float:
        """What a dismissal tells its caller, which a storm may pace."""
        if self.lookout is not None:
            try:
                brings = self.manager.state.arrivals.weights.get(slip.by, 1.0)
                return self.lookout.away(slip.by, brings, round(away), slip.handle.deadline)
            except Exception:
                self._blind("returns", slip)
        return away

    def _answered(self, slip: Slip, good: bool) -> None:
        """A final answer went out."""
        if self.lookout is not None:
            try:
                self.lookout.ended(slip.likeness, good)
            except Exception:
                self._blind("lookout", slip)

    def _blind(self, where: str, slip: Slip) -> None:
        """Guards tickets against a defect of the sight: it is given up, and they go on without."""
        self.book.defect(where, slip.id)
        self.lookout = None

    # The turn

    def _hear(self, what: Callable, slip: Slip | None, *given: object) -> None:
        self.news.append((what, slip, given))
        if not self.due:
            self.due = True
            self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        self.due = False
        news, self.news = self.news, []
        now = self.now()
        for what, slip, given in news:
            try:
                if results := what(now, slip, *given):
                    self.route.carry_out(results)
            except Exception:
                self.book.defect(what.__name__, slip.id if slip else None)
                if slip is not None:
                    self._abandon(slip)
        if self.manager is not None:
            self._decide(now)
            if len(self.slips) != len(self.manager.state.table.by_id):
                for slip in [slip for slip in self.slips.values() if slip.handle and slip.handle.closed]:
                    self._close(slip)
            self.book.holds(
                len(self.slips) == len(self.manager.state.table.by_id), "the desk's tickets are the module's"
            )
        self.repeats.expire(now)

    def _decide(self, now: int) -> None:
        """Guards against a ticket that the module or a stage fails on: it is given up, the others go on."""
        try:
            self.route.carry_out(self.manager.turn(now))
            return
        except Exception:
            self.book.defect("turn", None)
        self.manager.state.table.arrivals.clear()
        overdue = [
            s
            for s in self.slips.values()
            if s.handle and (now >= s.handle.deadline or s.handle.state == RequestState.NEW)
        ]
        for slip in overdue:
            self._abandon(slip)
        self.loop.call_later(AGAIN, self._hear, self._nothing, None)

    def _abandon(self, slip: Slip) -> None:
        """Forfeits a ticket whose handling failed, and makes the module and the farm agent let go of it."""
        if not slip.answered:
            self.relay.forfeit(slip)
        self.call.give_up(slip)
        if slip.launched:
            self.send.freeze(slip)
        handle = slip.handle
        if handle is not None and not handle.closed:
            handle.answered = True
            try:
                self.manager.abandon(handle)
            except Exception:
                self.book.defect("close", slip.id)
                handle.closed = True
                self.manager.state.table.by_id.pop(slip.id, None)
        self._close(slip)

    def _close(self, slip: Slip) -> None:
        if not self.book.holds(slip.answered, "closed without an answer"):
            self.relay.forfeit(slip)
        self.call.give_up(slip)
        slip.launched = False
        if self.slips.get(slip.id) is slip:
            del self.slips[slip.id]
        self.repeats.closed(slip)

    # News, each handed in at the turn's reading of the clock

    def _nothing(self, now: int, _: None) -> None:
        """No news, but a turn."""

    def _admit(self, now: int, slip: Slip, arrival: Arrival, kind: int, team: int, repeats: str) -> None:
        again = False
        if self.came is not None:
            self.came[team] += 1
        if self.lookout is not None:
            slip.by = arrival.sidecar
            try:
                slip.likeness, again = self.lookout.arrived(arrival, kind)
            except Exception:
                self._blind("lookout", slip)
        admit(self.manager, now, slip, arrival, kind, team, repeats, again)

    def _run(self, slip: Slip, _: float = 0) -> None:
        self.repeats.began(slip, self.clock)
        self.send.launch(slip)

    def _shared(self, now: int, slip: Slip, result: bytes | None) -> list | None:
        """The run that this ticket shares is over."""
        if slip.answered or self.slips.get(slip.id) is not slip:
            return None  # its own time was up before
        if result is not None:
            self.relay.settle(slip, result)
        else:
            self.relay.forfeit(slip)
        return slip.handle.ended(now, 0, Outcome.FAILED if result is None else Outcome.GOOD)

    def _gone(self, now: int, slip: Slip, caller: Caller) -> list | None:
        if caller in slip.callers:
            slip.callers.remove(caller)
        if slip.callers or slip.answered or self.slips.get(slip.id) is not slip:
            return None
        self.book.count("gone")
        slip.answered, slip.body = True, b""
        return slip.handle.gone(now)

    def _called(self, now: int, slip: Slip, took: int, outcome: Outcome, body: bytes) -> list | None:
        if not slip.launched or slip.wanted is None:
            return None
        if outcome is Outcome.GOOD:
            self.send.deliver(slip, body)
            slip.wanted = None
        return slip.handle.called(now, took, outcome)

    def _farm_news(self, now: int, _: None, notice: agent.Notice) -> list | None:
        match notice:
            case agent.Ended():
                return self._per_ticket(self._ended, now, notice)
            case agent.Wants():
                return self._per_ticket(self._wants, now, notice)
            case agent.Sampled():
                if self.wake.sampled(notice.tag):
                    return self.manager.wake(now, dict(zip(self.names.gauges, notice.gauges, strict=False)))
            case agent.Exercised():
                self.check.answered(notice.tag, notice.good)
            case agent.Greeting():
                return self._greeted(now, notice)
            case agent.Refusal():
                self.book.event("agent_refusal", command=notice.command, id=notice.id)
                slip = self.slips.get(notice.id)
                if notice.command == "launch" and slip is not None and slip.launched:
                    # It never ran, whatever was wrong with it: that says nothing of errors here.
                    return self._per_ticket(self._ended, now, agent.Ended(0, slip.id, "MOOT", 0, b""))
        return None

    def _per_ticket(self, what: Callable, now: int, notice: agent.Ended | agent.Wants) -> list | None:
        slip = self.slips.get(notice.id)
        if slip is None or not slip.launched:
            return None  # news of a ticket that is over
        try:
            return what(now, slip, notice)
        except Exception:
            self.book.defect(what.__name__, slip.id)
            self._abandon(slip)
            return None

    def _greeted(self, now: int, notice: agent.Greeting) -> list | None:
        self.send.greeting()
        if self.manager is not None:
            return None
        self.book.event("greeted", cold=notice.cold, age_ms=notice.age // 1000)
        facts = dataclasses.replace(self.facts, cold=notice.cold)
        self.manager = LoadManager(facts, now - notice.age, random.Random(self.seed))
        return self.manager.begin(now)

    def _ended(self, now: int, slip: Slip, notice: agent.Ended) -> list:
        slip.launched, slip.wanted = False, None
        end = notice.end
        if end == "STOPPED" and not slip.answered and slip.handle.request_class.repeat is not Repeat.REDOABLE:
            # Guards against a run that was stopped though nobody asked: held again, it would run twice.
            end = "ERROR"
        self.repeats.ended(slip, end == "OK", end != "MOOT", notice.result)
        self.call.give_up(slip)
        if not slip.answered:
            if end == "OK":
                self.relay.settle(slip, notice.result)
            elif end != "STOPPED":
                self.relay.forfeit(slip)
        return slip.handle.ended(now, notice.took, ENDS[end])

    def _wants(self, now: int, slip: Slip, notice: agent.Wants) -> list:
        slip.asks += 1
        slip.wanted = notice.body
        return slip.handle.needs_call(now)
