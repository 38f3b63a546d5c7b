"""The types at the boundary of the decision module. No decisions are made here.

Times are whole microseconds of one monotonic clock.
"""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any


class Idempotency(Enum):
    """Whether a request may be run again: always, once per idempotency key, or never."""

    IDEMPOTENT = auto()
    KEYED = auto()
    NON_IDEMPOTENT = auto()


class Halt(Enum):
    """What a halt does to a running request: not supported, its work is discarded, or frozen."""

    NONE = auto()
    DISCARD = auto()
    FREEZE = auto()


class LoadSignal(Enum):
    """How callers read FREE_VALUE.

    Not at all; as the lowest priority that is accepted; as the number of open requests that each caller may
    have; or as a load-balancing weight.
    """

    NONE = auto()
    FLOOR = auto()
    ALLOWANCE = auto()
    WEIGHT = auto()


class Outcome(Enum):
    """How a run or a call ended, as far as it matters for a retry."""

    GOOD = auto()
    FAILED = auto()
    NEVER_RAN = auto()
    UNSURE = auto()
    STOPPED = auto()


class Step(Enum):
    """What the module asks for. A result is (step, request or None, figure); times are in microseconds."""

    RUN = auto()  # start or continue the run
    HALT = auto()  # stop the run
    DISMISS = auto()  # reject, another backend may be tried; figure: retry-after
    DISMISS_ALL = auto()  # reject, no other backend should be tried; figure: retry-after
    FORFEIT = auto()  # answer with an error: it may have run
    CALL = auto()  # make its downstream call; figure: time-out
    GO_ON = auto()  # continue the run without its call
    KEEP = auto()  # add or renew a deduplication entry; figure: for how long
    FORGET = auto()  # remove the deduplication entry
    SHARE = auto()  # answer with the result of the earlier attempt
    READY = auto()  # answer health checks with success from now on
    UNREADY = auto()  # answer health checks with failure from now on
    FREE_VALUE = auto()  # report the spare capacity; figure: its value, read as LoadSignal says
    IDLE = auto()  # figure: the idle time-out of connections
    WAKE = auto()  # set the wake-up timer; figure: its delay


Result = tuple[Step, Any, float]
Id = int | str  # of a request, as the wire gives it


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One request class of a deployment."""

    latency_target: int
    deadline: int
    idempotency: Idempotency
    dedup_window: int  # for how long a keyed request may be retried
    makes_calls: bool  # runs may call the downstream
    partial_value: float  # the part of `value` that an answer has without its downstream calls
    value: float = 1.0  # of an answer, relative to other classes


@dataclass(frozen=True, slots=True)
class ServerFacts:
    """The facts that a backend is given at its start."""

    classes: tuple[RequestClass, ...]
    quotas: tuple[float, ...]  # of each customer: requests a second over all backends
    over_quota_value: float  # factor on the value of requests beyond the quota
    backends: int  # the size of the fleet
    cores: int
    memory_kb: float
    run_factor: float  # memory of a running request, as a multiple of its memory while queued
    key_kb: float  # memory of a deduplication entry
    halt: Halt
    signal: LoadSignal
    max_retry_after: int  # 0: callers get no retry-after
    max_per_core: float  # concurrent runs for each core that a warm backend survives
    cold: bool  # starts cold and has to warm up
    cold_speed: float  # the part of its full speed that a cold backend has
    warm_up: int  # the time from the start to full speed
    call_quota: float  # its part of the mean concurrent calls that the downstream survives; 0: no limit
    quota_window: int  # the time over which that mean is taken
    linger: int  # for how long an abandoned call still occupies the downstream
    cache_ttl: int  # for how long the result of an idempotent request is shared with its retries
    max_idle_time: int  # after which callers close idle connections themselves
    answer_slack: int  # how late after its deadline an answer is still accepted
    drain_grace: int  # for how long requests may still arrive after the drain began


@dataclass(frozen=True, slots=True)
class WireNames:
    """Names on the wire; the decision module knows only their indices."""

    classes: tuple[str, ...]
    customers: tuple[str, ...]
    gauges: tuple[str, ...]
    passes_deadline: bool  # each request carries its caller's deadline
    deep_checks: bool
