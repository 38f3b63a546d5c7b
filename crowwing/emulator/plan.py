"""Plan of an emulation, read from JSON: the fleet, its load, the behaviour of its peers, and the faults.

Every field has a default, so `{}` is a valid plan. Names of times carry their unit. Unknown fields are
rejected.
"""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

Fraction = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=200)]

HABITS = ("none", "capped", "uncapped", "next", "copy")
Habit = Literal["none", "capped", "uncapped", "next", "copy"]


class PlanError(ValueError):
    """One line that names the file and the JSON path of the mistake."""


class PlanPart(Struct, forbid_unknown_fields=True, frozen=True):
    """Base of all parts of a plan."""


class RequestClassSettings(PlanPart):
    """One request class. Work is log-normal, in milliseconds of one core at speed 1."""

    name: str
    share: Positive = 1.0
    work_ms: Positive = 60.0
    cv: NonNegative = 0.6
    expected_ms: Positive = 1000.0
    outer_ms: Positive = 2500.0
    credit: Positive = 1.0
    late_part: Fraction = 0.2  # part of the value earned by an answer between latency target and deadline
    repeat: Literal["safe", "unsafe"] = "safe"
    calls: bool = False


class CustomerSettings(PlanPart):
    name: str
    share: Positive = 1.0


class MachineSettings(PlanPart):
    cores: Annotated[int, Meta(ge=1, le=64)] = 4
    speeds: tuple[Positive, ...] = (0.8, 1.2)  # assigned to the backends in turn
    crowd_from: Positive = 1.4  # runs per core above which all runs slow down
    crowd_cost: NonNegative = 0.25  # slowdown for each further run per core
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.25
    cold_s: NonNegative = 8.0
    read_part: Fraction = 0.2  # cost of reading a request, as a part of its mean work
    memory_kb: Positive = 60000.0
    run_factor: Annotated[float, Meta(ge=1)] = 8.0
    fall_multiple: Annotated[float, Meta(ge=1)] = 8.0
    fall_s: Positive = 2.0


class DownstreamSettings(PlanPart):
    slots: Positive = 12.0
    work_ms: Positive = 15.0
    crowd_from: Positive = 1.0
    crowd_cost: NonNegative = 0.2
    turns_away_at: NonNegative = 0.0  # calls per slot from which calls are rejected; 0: never
    fall_multiple: Positive = 5.0
    fall_s: Positive = 5.0
    down_s: Positive = 5.0
    lingers_ms: NonNegative = 200.0


class SidecarSettings(PlanPart):
    count: Count = 4
    habit: Habit = "uncapped"
    heed: Fraction = 0.9  # share of sidecars that follow retry-after and spare-capacity hints
    tries_most: Annotated[int, Meta(ge=1, le=50)] = 4  # attempts per request, the first included
    cap_part: Fraction = 0.2  # habit 'capped': retries allowed per first attempt
    copy_after_ms: Positive = 400.0  # habit 'copy': delay before a hedged second attempt
    notice_s: tuple[NonNegative, NonNegative] = (
        1.0,
        2.0,
    )  # how late each learns what the control plane lists
    idle_s: Positive = 15.0


class ClientSettings(PlanPart):
    repeats: Annotated[int, Meta(ge=0, le=5)] = 1  # retries by the client itself, not marked as such
    pause_ms: tuple[NonNegative, NonNegative] = (100.0, 400.0)  # before a retry
    heed: Fraction = 0.0  # share of clients that honour retry-after


class ControlPlaneSettings(PlanPart):
    lapse_s: Positive = 3.0


class TrafficSettings(PlanPart):
    load: Positive = 0.8  # offered work, reading included, relative to the capacity of all cores
    shape: Literal["poisson", "bursty"] = "poisson"
    burst_size: Annotated[float, Meta(ge=1)] = 2.0  # 'bursty': high rate as a multiple of the low rate
    burst_s: Positive = 2.0  # mean length of a burst and of the time between bursts
    equal_part: Fraction = 0.0  # share of requests whose body equals that of a recent request
    kb: tuple[Positive, Positive] = (13.0, 60.0)
    body_bytes: Annotated[int, Meta(ge=8, le=2048)] = 64


class Fault(PlanPart):
    """`at_s` counts from the start of the traffic.

    `backends` are indices; instead, `part` hits a seeded random sample of that share of all backends.
    """

    kind: Literal["kill", "slow", "hang", "drain", "crawl_below", "hang_below", "burst", "no_roster", "flood"]
    at_s: NonNegative
    for_s: NonNegative = 5.0
    backends: tuple[Annotated[int, Meta(ge=0)], ...] = ()
    part: Fraction = 0.0
    size: Positive = 1.0  # slow, crawl_below: factor on the speed; burst, flood: factor on the normal rate
    customer: str = ""  # flood
    cold: bool = True  # kill, drain: whether the next incarnation starts cold


DEFAULT_TYPES = (
    RequestClassSettings(name="look-up", share=0.67, calls=True),
    RequestClassSettings(name="reserve", share=0.33, credit=2.0, late_part=0.0, cv=0.8),
)
DEFAULT_CUSTOMERS = (
    CustomerSettings("acme", 0.5),
    CustomerSettings("globex", 0.3),
    CustomerSettings("initech", 0.2),
)


class Plan(PlanPart):
    seed: int = 1
    seconds: Positive = 30.0
    warm_up_s: NonNegative = 4.0
    backends: Count = 6
    stop_ms: Positive = 3200.0
    grace_ms: NonNegative = 1000.0
    over_share_credit: Fraction = 0.1
    stay_away_most_ms: NonNegative = 1000.0
    traffic: TrafficSettings = field(default_factory=TrafficSettings)
    types: tuple[RequestClassSettings, ...] = DEFAULT_TYPES
    customers: tuple[CustomerSettings, ...] = DEFAULT_CUSTOMERS
    machine: MachineSettings = field(default_factory=MachineSettings)
    below: DownstreamSettings = field(default_factory=DownstreamSettings)
    sidecars: SidecarSettings = field(default_factory=SidecarSettings)
    clients: ClientSettings = field(default_factory=ClientSettings)
    control: ControlPlaneSettings = field(default_factory=ControlPlaneSettings)
    faults: tuple[Fault, ...] = ()

    def speed_of(self, backend: int) -> float:
        return self.machine.speeds[backend % len(self.machine.speeds)]

    def mean_work_ms(self) -> float:
        """Returns the mean work of one request that runs, reading included."""
        total = sum(kind.share for kind in self.types)
        return sum(kind.share * kind.work_ms for kind in self.types) / total * (1 + self.machine.read_part)

    def rate_per_s(self) -> float:
        """Returns the first attempts per second over the whole fleet."""
        power = sum(self.speed_of(n) for n in range(self.backends)) * self.machine.cores
        return self.traffic.load * power * 1000 / self.mean_work_ms()


def check(plan: Plan) -> Plan:
    """Checks constraints that the types cannot express; raises ValueError with the JSON path."""
    if not plan.types:
        raise ValueError("no request classes - at `$.types`")
    if not plan.customers:
        raise ValueError("no customers - at `$.customers`")
    if not plan.machine.speeds:
        raise ValueError("no speeds - at `$.machine.speeds`")
    for place, (low, high) in {
        "$.sidecars.notice_s": plan.sidecars.notice_s, "$.clients.pause_ms": plan.clients.pause_ms,
        "$.traffic.kb": plan.traffic.kb,
    }.items():  # fmt: skip
        if low > high:
            raise ValueError(f"lower end of a range is above its upper end - at `{place}`")
    for n, kind in enumerate(plan.types):
        if kind.expected_ms > kind.outer_ms:
            raise ValueError(f"latency target is above the deadline - at `$.types[{n}].expected_ms`")
    names = [customer.name for customer in plan.customers]
    for n, fault in enumerate(plan.faults):
        for backend in fault.backends:
            if backend >= plan.backends:
                raise ValueError(
                    f"no backend {backend}, there are {plan.backends} - at `$.faults[{n}].backends`"
                )
        if fault.kind in ("kill", "slow", "hang", "drain") and not (fault.backends or fault.part):
            raise ValueError(f"needs either backends or a part - at `$.faults[{n}]`")
        if fault.kind == "flood" and fault.customer not in names:
            raise ValueError(f"no customer {fault.customer!r} - at `$.faults[{n}].customer`")
        if fault.at_s >= plan.seconds:
            raise ValueError(f"starts after the end of the run - at `$.faults[{n}].at_s`")
    return plan


def _decode(path: Path, kind: object) -> object:
    try:
        return msgspec.json.decode(path.read_bytes(), type=kind)
    except OSError as error:
        raise PlanError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PlanError(f"{path}: {error}") from None


def read(path: Path | None, script: Path | None = None, **changes: object) -> Plan:
    """Reads a plan from a file, or returns the defaults; a separate fault script replaces the plan's faults.

    `changes` override fields of Plan. Raises PlanError with the file and the JSON path.
    """
    plan = Plan() if path is None else _decode(path, Plan)
    if script is not None:
        changes["faults"] = _decode(script, tuple[Fault, ...])
    try:
        return check(msgspec.structs.replace(plan, **changes))
    except ValueError as error:
        place = script if script is not None and "$.faults" in str(error) else path
        text = str(error).replace("$.faults", "$") if place is not None and place == script else str(error)
        raise PlanError(f"{place or 'plan'}: {text}") from None
