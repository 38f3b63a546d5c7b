"""Generates the clients' requests: open-loop arrivals and their contents, all from the seed. Free of I/O.

The normal traffic and each flood have their own random generators, so that adding or removing a fault in a
plan changes none of the other arrivals.
"""

from collections import deque
from collections.abc import Iterator
from heapq import merge
from math import log, sqrt
from random import Random
from typing import NamedTuple

from crowwing.emulator.plan import Plan

RECENT_ARRIVALS = 200  # recent requests from which an equal one is drawn


class Arrival(NamedTuple):
    """One request as its client sees it. Times in microseconds, `at` since the start of the traffic."""

    at: int
    kind: int
    customer: int
    work: int
    call_work: int
    kb: float
    rank: float
    body: bytes
    pauses: tuple[int, ...]  # before each retry
    sidecar: int
    follows_hints: bool


def _log_normal(rng: Random, mean: float, cv: float) -> float:
    if cv == 0:
        return mean
    sigma = sqrt(log(1 + cv * cv))
    return rng.lognormvariate(log(mean) - sigma * sigma / 2, sigma)


def _poisson_times(rng: Random, rate_at: "RateCurve", end: int) -> Iterator[int]:
    """Yields the times of a Poisson process whose rate per second is piecewise constant."""
    now = 0.0
    while now < end:
        left = rng.expovariate(1.0)  # remaining integral of the rate until the next event
        while now < end:
            rate, until = rate_at(now)
            area = rate * (min(until, end) - now) / 1e6
            if rate > 0 and left <= area:
                now += left / rate * 1e6
                break
            left -= area
            now = until
        if now < end:
            yield int(now)


class RateCurve:
    """Rate of the normal traffic: constant or bursty, multiplied by active burst faults."""

    def __init__(self, plan: Plan, rng: Random, rate: float) -> None:
        self.end = round(plan.seconds * 1e6)
        self.bursts = [
            (round(f.at_s * 1e6), round((f.at_s + f.for_s) * 1e6), f.size)
            for f in plan.faults
            if f.kind == "burst"
        ]
        self.steps: list[tuple[int, float]] = []  # (until, rate)
        traffic, at = plan.traffic, 0
        if traffic.shape == "poisson":
            self.steps.append((self.end, rate))
            return
        low = 2 * rate / (1 + traffic.burst_size)
        high = False
        while at < self.end:
            at += max(1, round(rng.expovariate(1 / traffic.burst_s) * 1e6))
            self.steps.append((at, low * traffic.burst_size if high else low))
            high = not high

    def __call__(self, now: float) -> tuple[float, int]:
        until, rate = next(step for step in self.steps if step[0] > now)
        for begin, end, size in self.bursts:
            if begin <= now < end:
                rate, until = rate * size, min(until, end)
            elif now < begin:
                until = min(until, begin)
        return rate, until


def arrivals(plan: Plan) -> Iterator[Arrival]:
    """Yields all requests in order of time."""
    end, streams = round(plan.seconds * 1e6), []
    rng = Random(f"{plan.seed}/arrivals")
    base_rate = RateCurve(plan, Random(f"{plan.seed}/bursts"), plan.rate_per_s())
    streams.append((at, -1) for at in _poisson_times(rng, base_rate, end))
    shares = sum(customer.share for customer in plan.customers)
    for n, fault in enumerate(plan.faults):
        if fault.kind != "flood":
            continue
        customer = next(k for k, c in enumerate(plan.customers) if c.name == fault.customer)
        extra = plan.rate_per_s() * plan.customers[customer].share / shares * max(0.0, fault.size - 1)
        begin, span = round(fault.at_s * 1e6), round(fault.for_s * 1e6)
        flood = _poisson_times(Random(f"{plan.seed}/flood/{n}"), lambda _, r=extra, s=span: (r, s), span)
        streams.append((begin + at, customer) for at in flood if begin + at < end)
    rngs = {-1: Random(f"{plan.seed}/tickets"), 0: Random(f"{plan.seed}/flooders")}
    recent: deque[Arrival] = deque(maxlen=RECENT_ARRIVALS)
    for at, customer in merge(*streams):
        arrival = _draw_arrival(plan, rngs[min(customer, 0)], at, customer, recent)
        recent.append(arrival)
        yield arrival


def _draw_arrival(plan: Plan, rng: Random, at: int, customer: int, recent: deque[Arrival]) -> Arrival:
    kind = rng.choices(range(len(plan.types)), [k.share for k in plan.types])[0]
    drawn = rng.choices(range(len(plan.customers)), [c.share for c in plan.customers])[0]
    settings = plan.types[kind]
    arrival = Arrival(
        at=at,
        kind=kind,
        customer=drawn if customer < 0 else customer,
        work=max(1, round(_log_normal(rng, settings.work_ms * 1000, settings.cv))),
        call_work=max(1, round(_log_normal(rng, plan.below.work_ms * 1000, 0.5))),
        kb=round(rng.uniform(*plan.traffic.kb), 1),
        rank=round(rng.random() * 0.9999, 4),
        body=rng.randbytes(plan.traffic.body_bytes),
        pauses=tuple(round(rng.uniform(*plan.clients.pause_ms) * 1000) for _ in range(plan.clients.repeats)),
        sidecar=rng.randrange(plan.sidecars.count),
        follows_hints=rng.random() < plan.clients.heed,
    )
    if recent and rng.random() < plan.traffic.equal_part:
        equal = recent[rng.randrange(len(recent))]
        if customer < 0 or equal.customer == customer:
            same = {name: getattr(equal, name) for name in ("kind", "customer", "kb", "rank", "body")}
            arrival = arrival._replace(**same)
    return arrival
