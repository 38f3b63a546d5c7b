"""What benchmarks/cells.py plays: a fleet of pure members in simulated time, and one script on it a run.

Each script takes a fleet that is up and at rest and gives its figures; throughout 1% of datagrams are lost,
and one takes 80 ms between regions and 0.5 to 2 ms within one.
"""

import gc
import random
from collections.abc import Callable, Iterable

from crowwing.fleet.adapters.full_transfer import CONNECT_TIMEOUT_S
from crowwing.fleet.member import MemberSettings
from crowwing.fleet.membership.cells import CellLayout
from crowwing.fleet.membership.swim import DEAD, Timing
from crowwing.fleet.simulated_fleet import SimulatedFleet
from crowwing.fleet.state.catch_up import CatchUpTiming
from crowwing.fleet.state.dissemination import DisseminationSettings
from crowwing.fleet.state.keyspaces import KEYSPACES

S = 1_000_000
REGIONS, ZONES = 5, 11
LOSS, FAR = 0.01, 80_000
HEADERS = 28  # bytes of IPv4 and UDP on a datagram
ENTRIES = 200  # that the fleet holds for all of its members
LIFE = 23 * 3600 * S
SAMPLE = 5 * S
MANNER = MemberSettings(Timing(), DisseminationSettings(), CatchUpTiming())


def places(size: int) -> dict[str, tuple[str, str]]:
    """Eleven zones, one after the other, in five regions."""
    return {f"m{n}": (f"r{n % ZONES % REGIONS}", f"z{n % ZONES}") for n in range(size)}


class Played:
    """A fleet and what is seen of it. Traffic is sampled every 5 s; a minute is 12 samples."""

    def __init__(self, size: int, seed: int, in_cells: bool) -> None:
        self.chance = random.Random(f"{seed}/script")
        self.places = places(size)
        layout = CellLayout(self.places, 64) if in_cells else None
        world = SimulatedFleet(size, seed, MANNER, KEYSPACES, layout=layout, far=FAR, in_step=False)
        self.world, self.layout, self.names = world, layout, world.names
        world.region = {name: place[0] for name, place in self.places.items()}
        world.loss = LOSS
        world.failed_fetch_delay = round(CONNECT_TIMEOUT_S * S)
        gc.collect()
        gc.freeze()  # what is there stays; no message holds a cycle
        gc.disable()
        # A fleet that has been up: only who starts later catches up; all hold the same.
        rows = []
        for n in range(ENTRIES):
            member = world.members[self.chance.choice(self.names)]
            rows.append(
                member.wide_dissemination.replica.put(world.wall(member.me), f"said/kept/{n}", n, LIFE)
            )
        for member in world.members.values():
            member.catch_up.started_at, member.was_ready = None, True
            member.wide_dissemination.replica.merge(world.wall(member.me), rows)
        self.spoke: set[str] = set()
        self.samples: list[tuple[list[int], list[int]]] = []  # of each member, all told: payload, datagrams
        self.next_sample = 0
        self.run(15)
        self.began = len(self.samples)

    def run(self, seconds: float) -> None:
        self.run_until(self.world.now + round(seconds * S))

    def run_until(self, until: int) -> None:
        while self.next_sample <= until:
            self.world.run_until(self.next_sample)
            self._sample()
            self.next_sample += SAMPLE
        self.world.run_until(until)

    def until(self, check: Callable[[], bool], most: float, step: float = 0.05) -> float | None:
        """Simulated seconds until it holds; None where it does not within `most`."""
        began = self.world.now
        while not check():
            if self.world.now - began >= most * S:
                return None
            self.run(step)
        return (self.world.now - began) / S

    def _sample(self) -> None:
        traffic = [self.world.traffic[name] for name in self.names]
        self.samples.append(([t[0] + t[2] + t[4] for t in traffic], [t[1] + t[3] for t in traffic]))
        if self.layout is not None:
            self.spoke.update(
                name for name, member in self.world.members.items() if member.reachability.speaks
            )

    def bytes(self) -> dict[str, float]:
        """B/s sent and read together: of the worst minute of any one member, and the mean of all."""
        samples = self.samples[self.began - 1 :]
        minute = min(60 * S // SAMPLE, len(samples) - 1)
        found: dict[str, float] = {}
        worst = {True: (0.0, 0.0), False: (0.0, 0.0)}  # by whether it ever spoke: with headers, payload
        for (data, count), (data_then, count_then) in zip(samples, samples[minute:], strict=False):
            span = minute * SAMPLE / S
            for name, a, b, c, d in zip(self.names, data, data_then, count, count_then, strict=True):
                rate = (b - a + HEADERS * (d - c)) / span, (b - a) / span
                if rate > worst[name in self.spoke]:
                    worst[name in self.spoke] = rate
        found["worst_minute"] = round(worst[False][0])
        found["worst_minute_payload"] = round(worst[False][1])
        if self.spoke:
            found["worst_minute_speaker"] = round(worst[True][0])
            found["worst_minute_speaker_payload"] = round(worst[True][1])
        (data, count), (data_then, count_then) = samples[0], samples[-1]
        every = sum(data_then) - sum(data) + HEADERS * (sum(count_then) - sum(count))
        found["mean"] = round(every / ((len(samples) - 1) * SAMPLE / S) / len(self.names))
        return found

    # What there is to see

    def say(self, name: str, key: str) -> None:
        self.world.run_on(name, lambda member, _, wall: member.wide_dissemination.put(wall, key, 1, LIFE))

    def held(self, keys: Iterable[str]) -> Callable[[], bool]:
        """Whether every member that runs holds them."""
        wanted, left = list(keys), list(self.names)
        entries = {name: self.world.members[name].wide_dissemination.replica.entries for name in left}

        def check() -> bool:
            while left:
                if left[-1] not in self.world.paused and any(key not in entries[left[-1]] for key in wanted):
                    return False
                left.pop()
            return True

        return check

    def told(self, event: str, since: int) -> list[tuple[int, str]]:
        return [(at, name) for at, name, what, _ in self.world.member_events if what == event and at >= since]

    def drawn(self, count: int) -> list[str]:
        """Members by chance, in cells each of another one."""
        order = list(self.names)
        self.chance.shuffle(order)
        if self.layout is None:
            return order[:count]
        first: dict[str, str] = {}
        for name in order:
            first.setdefault(self.layout.cell_of[name], name)
        return list(first.values())[:count]

    def restart(self, name: str) -> None:
        self.world.restart(name, disk=False)
        self.world.run_on(name, lambda member, now, wall: member.tick(now, wall))

    def starts(self, names: list[str], began: dict[str, int]) -> dict[str, list]:
        """Of members that were started at `began`: what they asked, and seconds until ready."""
        asked = {name: set() for name in names}
        attempts = dict.fromkeys(names, 0)
        for at, name, other in self.world.fetches:
            if name in asked and at >= began[name]:
                asked[name].add(other)
                attempts[name] += 1
        ready: dict[str, float] = {}
        whole = 0
        for at, name, event, brings in self.world.member_events:
            if event == "caught_up" and name in began and at >= began[name] and name not in ready:
                ready[name] = (at - began[name]) / S
                whole += brings["whole"]
        return {
            "asked": [len(asked[name]) for name in names],
            "attempts": list(attempts.values()),
            "ready_s": [ready.get(name) for name in names],
            "whole": whole,
        }


# Scripts


def rest(fleet: Played) -> dict:
    fleet.run(90)
    return {}


def change(fleet: Played) -> dict:
    """One change after the other, each from anywhere; 3,400 a day are one in 25 s."""
    took = []
    for n in range(4):
        key = f"said/change/{n}"
        at = fleet.world.now
        fleet.say(fleet.chance.choice(fleet.names), key)
        took.append(fleet.until(fleet.held([key]), 60))
        fleet.run_until(at + 25 * S)
    return {"slowest_s": _worst(took), "all_s": took}


def burst(fleet: Played) -> dict:
    """Fifty changes at one moment, each from anywhere."""
    keys = [f"said/burst/{n}" for n in range(50)]
    for key in keys:
        fleet.say(fleet.chance.choice(fleet.names), key)
    took = fleet.until(fleet.held(keys), 120)
    fleet.run(60)
    return {"slowest_s": took}


def kill(fleet: Played) -> dict:
    """Up to ten members of as many cells die at once (of a flat fleet: one)."""
    names = fleet.drawn(10 if fleet.layout is not None else 1)
    seen = dict.fromkeys(names)
    began = fleet.world.now
    for name in names:
        fleet.world.kill(name)
    while not all(seen.values()) and fleet.world.now - began < 120 * S:
        fleet.run(0.1)
        for name in names:
            if seen[name] is None and fleet.world.seen_dead(name):
                seen[name] = (fleet.world.now - began) / S
    fleet.run_until(max(fleet.world.now, began + 60 * S))
    false = {
        who for at, _, who, state in fleet.world.changes if at > began and state == DEAD and who not in names
    }
    return {"slowest_s": _worst(seen.values()), "all_s": list(seen.values()), "held_dead_falsely": len(false)}


def dead_cell(fleet: Played) -> dict:
    """All of a cell die in one µs, and come back a minute after all know it."""
    cell = fleet.chance.choice(sorted(fleet.layout.rosters))
    return _die(fleet, list(fleet.layout.rosters[cell]), 1)


def zone(fleet: Played) -> dict:
    """A zone is lost for three minutes, and its members start again within half a minute."""
    which = fleet.chance.choice(sorted(set(fleet.places.values())))
    return _die(fleet, [name for name in fleet.names if fleet.places[name] == which], 30)


def _die(fleet: Played, names: list[str], within: float) -> dict:
    world, began = fleet.world, fleet.world.now
    for name in names:
        world.kill(name)
    known = fleet.until(world.views_agree, 170, 0.25)
    fleet.run_until(max(world.now + 60 * S, began + 60 * S))
    out = [
        n
        for _, _, event, brings in world.member_events
        if event == "cells_out"
        for n in [len(brings["cells"])]
    ]
    started, order = {}, sorted(names)
    fleet.chance.shuffle(order)
    for number, name in enumerate(order):
        fleet.run_until(max(world.now, began + round(within * S * number / len(order))))
        started[name] = world.now
        fleet.restart(name)
    last = world.now
    whole = fleet.until(lambda: len(world.roots()) == 1, 120, 0.25)
    back = fleet.until(lambda: world.views_agree() and all(world.members[n].ready for n in names), 300, 0.25)
    again = None if back is None else (world.now - last) / S
    fleet.run_until(max(world.now, last + 60 * S))
    told = fleet.starts(order, started)
    left = {name for _, name in fleet.told("catching_up", began) if name not in started}
    return {
        "members": len(names), "known_s": known, "agreed_again_s": again, "words_most": max(out, default=0),
        "asked_most": max(told["asked"]), "attempts_most": max(told["attempts"]),
        "ready_slowest_s": _worst(told["ready_s"]), "whole": told["whole"], "others_left_the_list": len(left),
        "holds_all_s": whole,
    }  # fmt: skip


def region(fleet: Played) -> dict:
    """One region cannot reach the others, nor they it, for three minutes."""
    world = fleet.world
    cut = fleet.chance.choice(sorted(set(world.region.values())))
    side = {name: region == cut for name, region in world.region.items()}
    before, began = world.is_partitioned, world.now
    world.is_partitioned = lambda a, b: side[a] != side[b]
    known = {}
    if fleet.layout is not None:
        far = {
            here: frozenset(cell for cell in fleet.layout.rosters if cell.startswith(f"{cut}/") != here)
            for here in (True, False)
        }
        known["known_s"] = fleet.until(lambda: world.views_agree(lambda name: far[side[name]]), 175, 0.25)
    fleet.run_until(began + 180 * S)
    fetched = len(world.fetches)
    world.is_partitioned, healed = before, world.now
    right = fleet.until(world.views_agree, 300, 0.25)
    fleet.run_until(max(world.now, healed + 60 * S))
    left = {name for _, name in fleet.told("catching_up", began)}
    held_dead = {who for at, _, who, state in world.changes if at > began and state == DEAD}
    return {
        **known, "views_right_s": right, "left_the_list": len(left),
        "held_dead_falsely": len(held_dead), "fetches": len(world.fetches) - fetched,
    }  # fmt: skip


def restart(fleet: Played) -> dict:
    """A release: members by chance, one a second, down for 2 s each, without their disks."""
    world, names, started = fleet.world, fleet.drawn(20), {}
    for name in names:
        world.kill(name)
        fleet.run(2)
        started[name] = world.now
        fleet.restart(name)
        fleet.run(1)
    fleet.run(20)
    told = fleet.starts(names, started)
    return {
        "asked_most": max(told["asked"]), "attempts_most": max(told["attempts"]),
        "ready_slowest_s": _worst(told["ready_s"]), "whole": told["whole"], "restarted": len(names),
    }  # fmt: skip


def lonely(fleet: Played) -> dict:
    """A member restarts and reaches nobody for two minutes."""
    world, name = fleet.world, fleet.chance.choice(fleet.names)
    world.is_partitioned = lambda a, b: name in (a, b)
    world.kill(name)
    fleet.run(2)
    began, traffic = world.now, list(world.traffic[name])
    fleet.restart(name)
    fleet.run(120)
    sent = world.traffic[name][1] - traffic[1]
    told = fleet.starts([name], {name: began})
    world.is_partitioned, healed = lambda _, __: False, world.now
    whole = fleet.until(lambda: world.members[name].catch_up.started_at is None, 60, 0.25)
    fleet.run_until(max(world.now, healed + 30 * S))
    return {
        "ready_s": told["ready_s"][0], "attempts": told["attempts"][0],
        "datagrams_s": round(sent / 120, 2), "whole_after_heal_s": whole,
    }  # fmt: skip


def _worst(took: Iterable[float | None]) -> float | None:
    """None where one of them never came to it."""
    took = list(took)
    return None if None in took else max(took, default=None)


SCRIPTS = {f.__name__: f for f in (rest, change, burst, kill, dead_cell, zone, region, restart, lonely)}
IN_CELLS_ONLY = {"dead_cell"}


def play(size: int, seed: int, script: str, in_cells: bool) -> dict:
    fleet = Played(size, seed, in_cells)
    return SCRIPTS[script](fleet) | {"bytes_s": fleet.bytes()}
