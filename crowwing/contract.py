"""The types between the decision module and whatever carries its tickets. No decisions live here.

Times are whole microseconds on one clock that only goes forward.
"""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any


class Idempotency(Enum):
    """What may happen to a ticket that comes again."""

    IDEMPOTENT = auto()
    KEYED = auto()
    NON_IDEMPOTENT = auto()


class Halt(Enum):
    """What becomes of running work that is stopped."""

    NONE = auto()
    DISCARD = auto()
    FREEZE = auto()


class LoadSignal(Enum):
    """How those who send read the free value: not at all, or as one of three kinds."""

    NONE = auto()
    FLOOR = auto()
    ALLOWANCE = auto()
    WEIGHT = auto()


class Outcome(Enum):
    """How a run or a call ended, as far as its repetition matters."""

    GOOD = auto()
    FAILED = auto()
    NEVER_RAN = auto()
    UNSURE = auto()
    STOPPED = auto()


class Step(Enum):
    """What the module asks for. A result is (step, ticket or None, figure)."""

    RUN = auto()
    HALT = auto()
    DISMISS = auto()  # figure: for how long to stay away; another backend may be tried
    DISMISS_ALL = auto()  # the same, and no other backend should be tried
    FORFEIT = auto()
    CALL = auto()  # figure: give up after
    GO_ON = auto()
    KEEP = auto()  # figure: for how long
    FORGET = auto()
    SHARE = auto()
    READY = auto()  # health checks are answered good, from store
    UNREADY = auto()  # health checks are answered bad, from store
    FREE_VALUE = auto()  # figure: the value
    IDLE = auto()  # figure: connections that carry nothing for so long are closed
    WAKE = auto()  # figure: in so long


Result = tuple[Step, Any, float]
Id = int | str  # of a ticket, as the wire gives it


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One traffic type of a deployment."""

    latency_target: int
    deadline: int
    idempotency: Idempotency
    dedup_window: int  # labelled: how long a repeat may follow
    makes_calls: bool  # may call what lies below
    partial_value: float  # part of the credit that is left without its calls
    value: float = 1.0  # what an answer is worth


@dataclass(frozen=True, slots=True)
class ServerFacts:
    """The facts that a backend is told at its start."""

    classes: tuple[RequestClass, ...]
    quotas: tuple[float, ...]  # tickets a second within each customer's share, over the fleet
    over_quota_value: float
    backends: int
    cores: int
    memory_kb: float
    run_factor: float
    key_kb: float
    halt: Halt
    signal: LoadSignal
    max_retry_after: int  # 0: advice to stay away is not passed on
    max_per_core: float  # tickets on the cores for each core that a warm backend survives
    cold: bool
    cold_speed: float
    warm_up: int
    call_quota: float  # this backend's part of the calls that what lies below survives; 0: none
    quota_window: int
    linger: int
    cache_ttl: int
    max_idle_time: int  # after this time callers close idle connections themselves
    answer_slack: int
    drain_grace: int


@dataclass(frozen=True, slots=True)
class WireNames:
    """What the wires call things; the module knows only their places in these lists."""

    classes: tuple[str, ...]
    customers: tuple[str, ...]
    gauges: tuple[str, ...]
    passes_deadline: bool  # each ticket says how long its caller waits
    deep_checks: bool
