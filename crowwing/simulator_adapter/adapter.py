"""Hosts instances of the decision module: decodes events into calls and encodes results. No decisions."""

import random
from collections.abc import Callable
from typing import Any

from crowwing.contract import Outcome, Result, Step
from crowwing.logic.load_manager import LoadManager
from crowwing.logic.request import Request
from crowwing.server_facts import InvalidSettingsError, decode, us
from crowwing.simulator_adapter import frames

_OUTCOMES = {
    100: Outcome.GOOD,
    301: Outcome.FAILED,
    302: Outcome.NEVER_RAN,
    303: Outcome.UNSURE,
    304: Outcome.NEVER_RAN,
    305: Outcome.UNSURE,
    306: Outcome.STOPPED,
    307: Outcome.NEVER_RAN,
}
_run, _halt = frames.packer(1060, "IQ"), frames.packer(1090, "IQ")
_dismiss, _forfeit = frames.packer(1050, "IQdB"), frames.packer(1140, "IQ")
_call, _go_on = frames.packer(1040, "IQd"), frames.packer(1070, "IQ")
_keep, _forget = frames.packer(1030, "IQd"), frames.packer(1020, "IQ")
_share, _health = frames.packer(1130, "IQ"), frames.packer(1120, "IBB")
_free_value, _idle = frames.packer(1080, "If"), frames.packer(1110, "Id")
_wake = frames.packer(1010, "IdI")

_ENCODE: dict[Step, Callable[[int, Any, float], bytes]] = {
    Step.RUN: lambda who, r, _: _run(who, r.id),
    Step.HALT: lambda who, r, _: _halt(who, r.id),
    Step.DISMISS: lambda who, r, away: _dismiss(who, r.id, away / 1000, 0),
    Step.DISMISS_ALL: lambda who, r, away: _dismiss(who, r.id, away / 1000, 1),
    Step.FORFEIT: lambda who, r, _: _forfeit(who, r.id),
    Step.CALL: lambda who, r, most: _call(who, r.id, most / 1000),
    Step.GO_ON: lambda who, r, _: _go_on(who, r.id),
    Step.KEEP: lambda who, r, span: _keep(who, r.id, span / 1000),
    Step.FORGET: lambda who, r, _: _forget(who, r.id),
    Step.SHARE: lambda who, r, _: _share(who, r.id),
    Step.READY: lambda who, _t, _f: _health(who, 1, 1),
    Step.UNREADY: lambda who, _t, _f: _health(who, 0, 1),
    Step.FREE_VALUE: lambda who, _, value: _free_value(who, value),
    Step.IDLE: lambda who, _, span: _idle(who, span / 1000),
    Step.WAKE: lambda who, _, span: _wake(who, span / 1000, 0),
}


class InternalError(Exception):
    """The decision module failed; `who` is the instance it failed in."""

    def __init__(self, who: int, words: str) -> None:
        super().__init__(words)
        self.who = who


class Host:
    """One life of one backend: its manager and its open tickets, which each answer empties."""

    __slots__ = ("manager", "tickets", "gauges")

    def __init__(self, now: int, entropy: int, settings: bytes) -> None:
        facts, names = decode(settings)
        self.gauges = names.gauges
        self.tickets: dict[int, Request] = {}
        self.manager = LoadManager(facts, now, random.Random(entropy))

    def hear(self, now: int, event: tuple) -> list[Result]:
        code = event[0]
        if code == frames.ARRIVAL:
            (_, _, op_id, grade, team, key, due, _, kb, rank, attrs, by, age, repeats) = event
            types = self.manager.facts.classes
            if grade >= len(types):
                raise frames.BadFrame(f"ARRIVAL names traffic type {grade} of {len(types)}")
            if self.manager.facts.quotas and team >= len(self.manager.facts.quotas):
                raise frames.BadFrame(f"ARRIVAL names customer {team} of {len(self.manager.facts.quotas)}")
            ticket = self.manager.receive(
                now, op_id, grade, team, rank, kb, now - us(age), us(due), by, repeats, key, bool(attrs & 4)
            )  # fmt: skip
            self.tickets[op_id] = ticket
            return []
        if code == frames.RING:
            return self.manager.on_timer(now, dict(zip(self.gauges, event[3], strict=False)))
        if code == frames.SIGTERM:
            return self.manager.drain(now, us(event[2]))
        ticket = self.tickets.get(event[2])
        if ticket is None:
            return []
        if code == frames.FINISHED:
            return ticket.run_ended(now, us(event[3]), _outcome(event[4]))
        if code == frames.WANTS_CALL:
            return ticket.call_needed(now)
        if code == frames.DEP_REPLY:
            return ticket.call_ended(now, us(event[3]), _outcome(event[4]))
        return ticket.caller_gone(now)

    def turn(self, now: int) -> list[Result]:
        results = self.manager.decide(now)
        self.tickets = {op_id: t for op_id, t in self.tickets.items() if not t.closed}
        return results


def _outcome(code: int) -> Outcome:
    if code not in _OUTCOMES:
        raise frames.BadFrame(f"unknown outcome {code}")
    return _OUTCOMES[code]


class Adapter:
    """All instances of this process; an EXIT empties the table."""

    def __init__(self) -> None:
        self.hosts: dict[int, Host] = {}

    def batch(self, clock: float, events: list[tuple]) -> list[bytes]:
        now = us(clock)
        touched: dict[int, list[bytes]] = {}
        for event in events:
            code, who = event[0], event[1]
            if code == frames.EXIT:
                self.hosts.pop(who, None)
                touched.pop(who, None)
                continue
            out = touched.setdefault(who, [])
            if code == frames.HELLO:
                del out[:]
                self.hosts[who] = self._guard(who, Host, now, event[2], event[3])
                self._encode(who, self.hosts[who].manager.begin(now), out)
            elif who not in self.hosts:
                raise frames.BadFrame(f"event {code} for instance {who}, which has not started")
            else:
                self._encode(who, self._guard(who, self.hosts[who].hear, now, event), out)
        for who, out in touched.items():
            if who in self.hosts:
                self._encode(who, self._guard(who, self.hosts[who].turn, now), out)
        return [record for out in touched.values() for record in out]

    @staticmethod
    def _guard(who: int, call: Callable, *given: object) -> object:
        try:
            return call(*given)
        except (frames.BadFrame, InvalidSettingsError):
            raise
        except Exception as defect:
            raise InternalError(who, f"{type(defect).__name__}: {defect}") from defect

    @staticmethod
    def _encode(who: int, results: list[Result], out: list[bytes]) -> None:
        out.extend(_ENCODE[step](who, ticket, figure) for step, ticket, figure in results)
