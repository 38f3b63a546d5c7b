"""What an emulation is: the fleet, its load, the habits of those around it, and its faults. Read from JSON.

Every field has a default, so `{}` is a plan. Times have their unit in the name. Unknown names are refused.
"""

from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

Part = Annotated[float, Meta(ge=0, le=1)]
Above = Annotated[float, Meta(gt=0)]
From0 = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=200)]

HABITS = ("none", "capped", "uncapped", "next", "copy")
Habit = Literal["none", "capped", "uncapped", "next", "copy"]


class BadPlan(ValueError):
    """One line that names the file and the place in it."""


class Told(Struct, forbid_unknown_fields=True, frozen=True):
    """What every part of a plan shares."""


class TypeFacts(Told):
    """One traffic type. Work is log-normal, in milliseconds of one core at speed 1."""

    name: str
    share: Above = 1.0
    work_ms: Above = 60.0
    cv: From0 = 0.6
    expected_ms: Above = 1000.0
    outer_ms: Above = 2500.0
    credit: Above = 1.0
    late_part: Part = 0.2  # of the credit, for an answer between expected time and outer limit
    repeat: Literal["safe", "unsafe"] = "safe"
    calls: bool = False


class CustomerFacts(Told):
    name: str
    share: Above = 1.0


class MachineFacts(Told):
    cores: Annotated[int, Meta(ge=1, le=64)] = 4
    speeds: tuple[Above, ...] = (0.8, 1.2)  # dealt out in turn
    crowd_from: Above = 1.4  # runs a core past which all get slower
    crowd_cost: From0 = 0.25  # so much for each further run a core
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.25
    cold_s: From0 = 8.0
    read_part: Part = 0.2  # of a ticket's mean work, to read it
    memory_kb: Above = 60000.0
    run_factor: Annotated[float, Meta(ge=1)] = 8.0
    fall_multiple: Annotated[float, Meta(ge=1)] = 8.0
    fall_s: Above = 2.0


class BelowFacts(Told):
    slots: Above = 12.0
    work_ms: Above = 15.0
    crowd_from: Above = 1.0
    crowd_cost: From0 = 0.2
    turns_away_at: From0 = 0.0  # calls a slot from which it turns calls away; 0: never
    fall_multiple: Above = 5.0
    fall_s: Above = 5.0
    down_s: Above = 5.0
    lingers_ms: From0 = 200.0


class SidecarFacts(Told):
    count: Count = 4
    habit: Habit = "uncapped"
    heed: Part = 0.9  # share of sidecars that follow advice and free values
    tries_most: Annotated[int, Meta(ge=1, le=50)] = 4  # tries of one ticket, the first included
    cap_part: Part = 0.2  # habit 'capped': repeats for each first try
    copy_after_ms: Above = 400.0  # habit 'copy': without an answer for so long, a second one goes out
    notice_s: tuple[From0, From0] = (1.0, 2.0)  # how late each learns what the control plane lists
    idle_s: Above = 15.0


class ClientFacts(Told):
    repeats: Annotated[int, Meta(ge=0, le=5)] = 1  # by a client itself, unmarked
    pause_ms: tuple[From0, From0] = (100.0, 400.0)  # before a repeat
    heed: Part = 0.0  # share of clients that come back only when told to


class ControlFacts(Told):
    lapse_s: Above = 3.0


class TrafficFacts(Told):
    load: Above = 0.8  # mean work asked for, reading included, against what all cores can do
    shape: Literal["poisson", "bursty"] = "poisson"
    burst_size: Annotated[float, Meta(ge=1)] = 2.0  # 'bursty': times the low rate
    burst_s: Above = 2.0  # mean length of a burst and of the time between
    equal_part: Part = 0.0  # tickets whose body equals that of another ticket of late
    kb: tuple[Above, Above] = (13.0, 60.0)
    body_bytes: Annotated[int, Meta(ge=8, le=2048)] = 64


class Fault(Told):
    """`at_s` from the start of the traffic. `backends` by place, or a `part` of them drawn by the seed."""

    kind: Literal["kill", "slow", "hang", "drain", "crawl_below", "hang_below", "burst", "no_roster", "flood"]
    at_s: From0
    for_s: From0 = 5.0
    backends: tuple[Annotated[int, Meta(ge=0)], ...] = ()
    part: Part = 0.0
    size: Above = 1.0  # slow, crawl_below: times the speed; burst, flood: times the usual rate
    customer: str = ""  # flood
    cold: bool = True  # kill, drain: whether the successor starts cold


DEFAULT_TYPES = (
    TypeFacts(name="look-up", share=0.67, calls=True),
    TypeFacts(name="reserve", share=0.33, credit=2.0, late_part=0.0, cv=0.8),
)
DEFAULT_CUSTOMERS = (CustomerFacts("acme", 0.5), CustomerFacts("globex", 0.3), CustomerFacts("initech", 0.2))


class Plan(Told):
    seed: int = 1
    seconds: Above = 30.0
    warm_up_s: From0 = 4.0
    backends: Count = 6
    stop_ms: Above = 3200.0
    grace_ms: From0 = 1000.0
    over_share_credit: Part = 0.1
    stay_away_most_ms: From0 = 1000.0
    traffic: TrafficFacts = field(default_factory=TrafficFacts)
    types: tuple[TypeFacts, ...] = DEFAULT_TYPES
    customers: tuple[CustomerFacts, ...] = DEFAULT_CUSTOMERS
    machine: MachineFacts = field(default_factory=MachineFacts)
    below: BelowFacts = field(default_factory=BelowFacts)
    sidecars: SidecarFacts = field(default_factory=SidecarFacts)
    clients: ClientFacts = field(default_factory=ClientFacts)
    control: ControlFacts = field(default_factory=ControlFacts)
    faults: tuple[Fault, ...] = ()

    def speed_of(self, backend: int) -> float:
        return self.machine.speeds[backend % len(self.machine.speeds)]

    def mean_work_ms(self) -> float:
        """Of one ticket that runs, reading included."""
        total = sum(kind.share for kind in self.types)
        return sum(kind.share * kind.work_ms for kind in self.types) / total * (1 + self.machine.read_part)

    def rate_per_s(self) -> float:
        """First tries a second, over the fleet."""
        power = sum(self.speed_of(n) for n in range(self.backends)) * self.machine.cores
        return self.traffic.load * power * 1000 / self.mean_work_ms()


def check(plan: Plan) -> Plan:
    """What types alone do not say; ValueError with the JSON path."""
    if not plan.types:
        raise ValueError("no traffic types - at `$.types`")
    if not plan.customers:
        raise ValueError("no customers - at `$.customers`")
    if not plan.machine.speeds:
        raise ValueError("no speeds - at `$.machine.speeds`")
    for place, (low, high) in {
        "$.sidecars.notice_s": plan.sidecars.notice_s, "$.clients.pause_ms": plan.clients.pause_ms,
        "$.traffic.kb": plan.traffic.kb,
    }.items():  # fmt: skip
        if low > high:
            raise ValueError(f"the first of a range is above the second - at `{place}`")
    for n, kind in enumerate(plan.types):
        if kind.expected_ms > kind.outer_ms:
            raise ValueError(f"expected time over outer limit - at `$.types[{n}].expected_ms`")
    names = [customer.name for customer in plan.customers]
    for n, fault in enumerate(plan.faults):
        for backend in fault.backends:
            if backend >= plan.backends:
                raise ValueError(
                    f"no backend {backend}, there are {plan.backends} - at `$.faults[{n}].backends`"
                )
        if fault.kind in ("kill", "slow", "hang", "drain") and not (fault.backends or fault.part):
            raise ValueError(f"names no backends and no part - at `$.faults[{n}]`")
        if fault.kind == "flood" and fault.customer not in names:
            raise ValueError(f"no customer {fault.customer!r} - at `$.faults[{n}].customer`")
        if fault.at_s >= plan.seconds:
            raise ValueError(f"begins after the end - at `$.faults[{n}].at_s`")
    return plan


def _decode(path: Path, kind: object) -> object:
    try:
        return msgspec.json.decode(path.read_bytes(), type=kind)
    except OSError as wrong:
        raise BadPlan(f"{path}: {wrong.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
        raise BadPlan(f"{path}: {wrong}") from None


def read(path: Path | None, script: Path | None = None, **changes: object) -> Plan:
    """The plan in a file, or the defaults; faults from a file of their own go in place of the plan's.

    `changes` are fields of Plan that were told otherwise; BadPlan is one line with the file and the place.
    """
    plan = Plan() if path is None else _decode(path, Plan)
    if script is not None:
        changes["faults"] = _decode(script, tuple[Fault, ...])
    try:
        return check(msgspec.structs.replace(plan, **changes))
    except ValueError as wrong:
        place = script if script is not None and "$.faults" in str(wrong) else path
        text = str(wrong).replace("$.faults", "$") if place is not None and place == script else str(wrong)
        raise BadPlan(f"{place or 'plan'}: {text}") from None
