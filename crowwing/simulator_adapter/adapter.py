"""Hosts instances of the decision module: decodes events into calls and encodes its results."""

import random
from collections.abc import Callable
from typing import Any

from crowwing.contract import Outcome, Result, Step
from crowwing.logic.load_manager import LoadManager
from crowwing.logic.request import Request
from crowwing.server_facts import InvalidSettingsError, decode, ms_to_us
from crowwing.simulator_adapter import frames

# The simulator's outcome codes of runs and calls.
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
# One encoder for each kind of reply record, made from its code and layout.
_run, _halt = frames.packer(1060, "IQ"), frames.packer(1090, "IQ")
_reject, _fail = frames.packer(1050, "IQdB"), frames.packer(1140, "IQ")
_call, _skip_call = frames.packer(1040, "IQd"), frames.packer(1070, "IQ")
_add_dedup_entry, _remove_dedup_entry = frames.packer(1030, "IQd"), frames.packer(1020, "IQ")
_share, _health = frames.packer(1130, "IQ"), frames.packer(1120, "IBB")
_spare_capacity, _idle = frames.packer(1080, "If"), frames.packer(1110, "Id")
_timer = frames.packer(1010, "IdI")

_ENCODE: dict[Step, Callable[[int, Any, float], bytes]] = {
    Step.RUN: lambda instance, r, _: _run(instance, r.id),
    Step.HALT: lambda instance, r, _: _halt(instance, r.id),
    Step.DISMISS: lambda instance, r, retry_after: _reject(instance, r.id, retry_after / 1000, 0),
    Step.DISMISS_ALL: lambda instance, r, retry_after: _reject(instance, r.id, retry_after / 1000, 1),
    Step.FORFEIT: lambda instance, r, _: _fail(instance, r.id),
    Step.CALL: lambda instance, r, timeout: _call(instance, r.id, timeout / 1000),
    Step.GO_ON: lambda instance, r, _: _skip_call(instance, r.id),
    Step.KEEP: lambda instance, r, span: _add_dedup_entry(instance, r.id, span / 1000),
    Step.FORGET: lambda instance, r, _: _remove_dedup_entry(instance, r.id),
    Step.SHARE: lambda instance, r, _: _share(instance, r.id),
    Step.READY: lambda instance, _request, _figure: _health(instance, 1, 1),
    Step.UNREADY: lambda instance, _request, _figure: _health(instance, 0, 1),
    Step.FREE_VALUE: lambda instance, _, value: _spare_capacity(instance, value),
    Step.IDLE: lambda instance, _, span: _idle(instance, span / 1000),
    Step.WAKE: lambda instance, _, span: _timer(instance, span / 1000, 0),
}


class InternalError(Exception):
    """The decision module raised an exception while it decided for `instance`."""

    def __init__(self, instance: int, message: str) -> None:
        super().__init__(message)
        self.instance = instance


class Instance:
    """One incarnation of one backend: its manager, and in `tickets` its open requests by id."""

    __slots__ = ("manager", "tickets", "gauges")

    def __init__(self, now: int, seed: int, settings: bytes) -> None:
        facts, names = decode(settings)
        self.gauges = names.gauges
        self.tickets: dict[int, Request] = {}
        self.manager = LoadManager(facts, now, random.Random(seed))

    def handle_event(self, now: int, event: tuple) -> list[Result]:
        code = event[0]
        if code == frames.ARRIVAL:
            (_, _, request_id, class_id, customer, key, due, _, kb, rank, flags, caller, age, first) = event
            classes = self.manager.facts.classes
            if class_id >= len(classes):
                raise frames.InvalidFrameError(f"ARRIVAL names request class {class_id} of {len(classes)}")
            if self.manager.facts.quotas and customer >= len(self.manager.facts.quotas):
                raise frames.InvalidFrameError(
                    f"ARRIVAL names customer {customer} of {len(self.manager.facts.quotas)}"
                )
            # `first` is the attempt that this one repeats; flag 4 marks a request that writes.
            request = self.manager.receive(
                now, request_id, class_id, customer, rank, kb, now - ms_to_us(age), ms_to_us(due), caller,
                first, key, bool(flags & 4),
            )  # fmt: skip
            self.tickets[request_id] = request
            return []
        if code == frames.RING:
            return self.manager.on_timer(now, dict(zip(self.gauges, event[3], strict=False)))
        if code == frames.SIGTERM:
            return self.manager.drain(now, ms_to_us(event[2]))
        request = self.tickets.get(event[2])
        if request is None:
            return []
        if code == frames.FINISHED:
            return request.run_ended(now, ms_to_us(event[3]), _outcome(event[4]))
        if code == frames.WANTS_CALL:
            return request.call_needed(now)
        if code == frames.DEP_REPLY:
            return request.call_ended(now, ms_to_us(event[3]), _outcome(event[4]))
        return request.caller_gone(now)

    def decide(self, now: int) -> list[Result]:
        results = self.manager.decide(now)
        self.tickets = {request_id: r for request_id, r in self.tickets.items() if not r.closed}
        return results


def _outcome(code: int) -> Outcome:
    if code not in _OUTCOMES:
        raise frames.InvalidFrameError(f"unknown outcome {code}")
    return _OUTCOMES[code]


class Adapter:
    """All instances of this process; an EXIT event removes one."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def process_batch(self, clock: float, events: list[tuple]) -> list[bytes]:
        now = ms_to_us(clock)
        outputs: dict[int, list[bytes]] = {}
        for event in events:
            code, instance = event[0], event[1]
            if code == frames.EXIT:
                self.instances.pop(instance, None)
                outputs.pop(instance, None)
                continue
            out = outputs.setdefault(instance, [])
            if code == frames.HELLO:
                del out[:]
                self.instances[instance] = self._run_guarded(instance, Instance, now, event[2], event[3])
                self._encode(instance, self.instances[instance].manager.begin(now), out)
            elif instance not in self.instances:
                raise frames.InvalidFrameError(f"event {code} for instance {instance}, which has not started")
            else:
                self._encode(
                    instance,
                    self._run_guarded(instance, self.instances[instance].handle_event, now, event),
                    out,
                )
        for instance, out in outputs.items():
            if instance in self.instances:
                self._encode(instance, self._run_guarded(instance, self.instances[instance].decide, now), out)
        return [record for out in outputs.values() for record in out]

    @staticmethod
    def _run_guarded(instance: int, call: Callable, *arguments: object) -> object:
        try:
            return call(*arguments)
        except (frames.InvalidFrameError, InvalidSettingsError):
            raise
        except Exception as error:
            raise InternalError(instance, f"{type(error).__name__}: {error}") from error

    @staticmethod
    def _encode(instance: int, results: list[Result], out: list[bytes]) -> None:
        out.extend(_ENCODE[step](instance, request, figure) for step, request, figure in results)
