"""The scripts of benchmarks/cells.py, each run on a fleet of members in simulated time.

Each script gets a fleet that is up and idle, and returns its figures. 1% of datagrams are lost; the one-way
delay is 80 ms between regions and 0.5 to 2 ms within a region.
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
LOSS, REGION_DELAY = 0.01, 80_000
HEADER_BYTES = 28  # IPv4 and UDP headers of a datagram
ENTRIES = 200  # held by all members of the fleet
ENTRY_LIFETIME = 23 * 3600 * S
SAMPLE_PERIOD = 5 * S
MEMBER_CONFIG = MemberSettings(Timing(), DisseminationSettings(), CatchUpTiming())


def assign_locations(size: int) -> dict[str, tuple[str, str]]:
    """Assigns members round-robin to eleven zones in five regions: name -> (region, zone)."""
    return {f"m{n}": (f"r{n % ZONES % REGIONS}", f"z{n % ZONES}") for n in range(size)}


class MeasuredFleet:
    """A simulated fleet and its measurements. Traffic is sampled every 5 s; a minute has 12 samples."""

    def __init__(self, size: int, seed: int, in_cells: bool) -> None:
        self.rng = random.Random(f"{seed}/script")
        self.locations = assign_locations(size)
        layout = CellLayout(self.locations, 64) if in_cells else None
        world = SimulatedFleet(
            size, seed, MEMBER_CONFIG, KEYSPACES, layout=layout, far=REGION_DELAY, in_step=False
        )
        self.world, self.layout, self.names = world, layout, world.names
        world.region = {name: location[0] for name, location in self.locations.items()}
        world.loss = LOSS
        world.failed_fetch_delay = round(CONNECT_TIMEOUT_S * S)
        gc.collect()
        gc.freeze()  # the fleet lives until the end, and messages have no reference cycles
        gc.disable()
        # Start as a running fleet: all members are caught up and hold the same entries.
        rows = []
        for n in range(ENTRIES):
            member = world.members[self.rng.choice(self.names)]
            rows.append(
                member.wide_dissemination.replica.put(
                    world.wall(member.me), f"said/kept/{n}", n, ENTRY_LIFETIME
                )
            )
        for member in world.members.values():
            member.catch_up.started_at, member.was_ready = None, True
            member.wide_dissemination.replica.merge(world.wall(member.me), rows)
        self.speakers: set[str] = set()
        # Cumulative, by member: payload bytes, datagrams.
        self.samples: list[tuple[list[int], list[int]]] = []
        self.next_sample = 0
        self.run(15)
        self.began = len(self.samples)

    def run(self, seconds: float) -> None:
        self.run_until(self.world.now + round(seconds * S))

    def run_until(self, until: int) -> None:
        while self.next_sample <= until:
            self.world.run_until(self.next_sample)
            self._sample()
            self.next_sample += SAMPLE_PERIOD
        self.world.run_until(until)

    def until(self, check: Callable[[], bool], timeout_s: float, step_s: float = 0.05) -> float | None:
        """Simulated seconds until the check holds; None after `timeout_s`."""
        began = self.world.now
        while not check():
            if self.world.now - began >= timeout_s * S:
                return None
            self.run(step_s)
        return (self.world.now - began) / S

    def _sample(self) -> None:
        traffic = [self.world.traffic[name] for name in self.names]
        self.samples.append(([t[0] + t[2] + t[4] for t in traffic], [t[1] + t[3] for t in traffic]))
        if self.layout is not None:
            self.speakers.update(
                name for name, member in self.world.members.items() if member.reachability.speaks
            )

    def traffic_rates(self) -> dict[str, float]:
        """B/s sent and received: the worst minute of any member, and the mean of all members."""
        samples = self.samples[self.began - 1 :]
        window = min(60 * S // SAMPLE_PERIOD, len(samples) - 1)
        found: dict[str, float] = {}
        # By whether the member was ever a speaker: with headers, payload.
        worst = {True: (0.0, 0.0), False: (0.0, 0.0)}
        for (data, count), (data_then, count_then) in zip(samples, samples[window:], strict=False):
            span = window * SAMPLE_PERIOD / S
            for name, a, b, c, d in zip(self.names, data, data_then, count, count_then, strict=True):
                rate = (b - a + HEADER_BYTES * (d - c)) / span, (b - a) / span
                if rate > worst[name in self.speakers]:
                    worst[name in self.speakers] = rate
        found["worst_minute"] = round(worst[False][0])
        found["worst_minute_payload"] = round(worst[False][1])
        if self.speakers:
            found["worst_minute_speaker"] = round(worst[True][0])
            found["worst_minute_speaker_payload"] = round(worst[True][1])
        (data, count), (data_then, count_then) = samples[0], samples[-1]
        total = sum(data_then) - sum(data) + HEADER_BYTES * (sum(count_then) - sum(count))
        found["mean"] = round(total / ((len(samples) - 1) * SAMPLE_PERIOD / S) / len(self.names))
        return found

    def put(self, name: str, key: str) -> None:
        self.world.run_on(
            name, lambda member, _, wall: member.wide_dissemination.put(wall, key, 1, ENTRY_LIFETIME)
        )

    def held_by_all(self, keys: Iterable[str]) -> Callable[[], bool]:
        """A check whether every running member holds the keys."""
        required_keys, unchecked = list(keys), list(self.names)
        entries = {name: self.world.members[name].wide_dissemination.replica.entries for name in unchecked}

        def check() -> bool:
            while unchecked:
                if unchecked[-1] not in self.world.paused and any(
                    key not in entries[unchecked[-1]] for key in required_keys
                ):
                    return False
                unchecked.pop()
            return True

        return check

    def log_events(self, event: str, since: int) -> list[tuple[int, str]]:
        return [(at, name) for at, name, what, _ in self.world.member_events if what == event and at >= since]

    def pick_members(self, count: int) -> list[str]:
        """Random members; in a fleet of cells, each from a different cell."""
        order = list(self.names)
        self.rng.shuffle(order)
        if self.layout is None:
            return order[:count]
        first: dict[str, str] = {}
        for name in order:
            first.setdefault(self.layout.cell_of[name], name)
        return list(first.values())[:count]

    def restart(self, name: str) -> None:
        self.world.restart(name, disk=False)
        self.world.run_on(name, lambda member, now, wall: member.tick(now, wall))

    def start_figures(self, names: list[str], began: dict[str, int]) -> dict[str, list]:
        """For members started at `began`: members asked, fetch attempts, and seconds until ready."""
        contacted = {name: set() for name in names}
        attempts = dict.fromkeys(names, 0)
        for at, name, other in self.world.fetches:
            if name in contacted and at >= began[name]:
                contacted[name].add(other)
                attempts[name] += 1
        ready: dict[str, float] = {}
        full_transfers = 0
        for at, name, event, brings in self.world.member_events:
            if event == "caught_up" and name in began and at >= began[name] and name not in ready:
                ready[name] = (at - began[name]) / S
                full_transfers += brings["whole"]
        return {
            "asked": [len(contacted[name]) for name in names],
            "attempts": list(attempts.values()),
            "ready_s": [ready.get(name) for name in names],
            "whole": full_transfers,
        }


# Scripts


def rest(fleet: MeasuredFleet) -> dict:
    fleet.run(90)
    return {}


def change(fleet: MeasuredFleet) -> dict:
    """Single changes at random members, 25 s apart, which is the rate of 3,400 a day."""
    took = []
    for n in range(4):
        key = f"said/change/{n}"
        at = fleet.world.now
        fleet.put(fleet.rng.choice(fleet.names), key)
        took.append(fleet.until(fleet.held_by_all([key]), 60))
        fleet.run_until(at + 25 * S)
    return {"slowest_s": slowest(took), "all_s": took}


def burst(fleet: MeasuredFleet) -> dict:
    """Fifty simultaneous changes, each at a random member."""
    keys = [f"said/burst/{n}" for n in range(50)]
    for key in keys:
        fleet.put(fleet.rng.choice(fleet.names), key)
    took = fleet.until(fleet.held_by_all(keys), 120)
    fleet.run(60)
    return {"slowest_s": took}


def kill(fleet: MeasuredFleet) -> dict:
    """Up to ten members of different cells fail at once (in a flat fleet, one member)."""
    names = fleet.pick_members(10 if fleet.layout is not None else 1)
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
    false_deaths = {
        who for at, _, who, state in fleet.world.changes if at > began and state == DEAD and who not in names
    }
    return {
        "slowest_s": slowest(seen.values()),
        "all_s": list(seen.values()),
        "held_dead_falsely": len(false_deaths),
    }


def dead_cell(fleet: MeasuredFleet) -> dict:
    """All members of a cell fail at the same µs, and restart a minute after all others have detected it."""
    cell = fleet.rng.choice(sorted(fleet.layout.rosters))
    return fail_and_restart(fleet, list(fleet.layout.rosters[cell]), 1)


def zone(fleet: MeasuredFleet) -> dict:
    """A zone fails for three minutes; its members then restart within half a minute."""
    failed_zone = fleet.rng.choice(sorted(set(fleet.locations.values())))
    return fail_and_restart(fleet, [name for name in fleet.names if fleet.locations[name] == failed_zone], 30)


def fail_and_restart(fleet: MeasuredFleet, names: list[str], within_s: float) -> dict:
    world, began = fleet.world, fleet.world.now
    for name in names:
        world.kill(name)
    known = fleet.until(world.views_agree, 170, 0.25)
    fleet.run_until(max(world.now + 60 * S, began + 60 * S))
    notice_sizes = [
        n
        for _, _, event, brings in world.member_events
        if event == "cells_out"
        for n in [len(brings["cells"])]
    ]
    started, order = {}, sorted(names)
    fleet.rng.shuffle(order)
    for number, name in enumerate(order):
        fleet.run_until(max(world.now, began + round(within_s * S * number / len(order))))
        started[name] = world.now
        fleet.restart(name)
    last = world.now
    synced_s = fleet.until(lambda: len(world.roots()) == 1, 120, 0.25)
    recovered_s = fleet.until(
        lambda: world.views_agree() and all(world.members[n].ready for n in names), 300, 0.25
    )
    recovered_after_s = None if recovered_s is None else (world.now - last) / S
    fleet.run_until(max(world.now, last + 60 * S))
    starts = fleet.start_figures(order, started)
    left_members = {name for _, name in fleet.log_events("catching_up", began) if name not in started}
    return {
        "members": len(names), "known_s": known, "agreed_again_s": recovered_after_s,
        "words_most": max(notice_sizes, default=0),
        "asked_most": max(starts["asked"]), "attempts_most": max(starts["attempts"]),
        "ready_slowest_s": slowest(starts["ready_s"]), "whole": starts["whole"],
        "others_left_the_list": len(left_members),
        "holds_all_s": synced_s,
    }  # fmt: skip


def region(fleet: MeasuredFleet) -> dict:
    """One region is partitioned from the others for three minutes."""
    world = fleet.world
    isolated = fleet.rng.choice(sorted(set(world.region.values())))
    is_isolated = {name: region == isolated for name, region in world.region.items()}
    before, began = world.is_partitioned, world.now
    world.is_partitioned = lambda a, b: is_isolated[a] != is_isolated[b]
    known = {}
    if fleet.layout is not None:
        far = {
            here: frozenset(cell for cell in fleet.layout.rosters if cell.startswith(f"{isolated}/") != here)
            for here in (True, False)
        }
        known["known_s"] = fleet.until(
            lambda: world.views_agree(lambda name: far[is_isolated[name]]), 175, 0.25
        )
    fleet.run_until(began + 180 * S)
    fetched = len(world.fetches)
    world.is_partitioned, healed = before, world.now
    correct_s = fleet.until(world.views_agree, 300, 0.25)
    fleet.run_until(max(world.now, healed + 60 * S))
    left_members = {name for _, name in fleet.log_events("catching_up", began)}
    declared_dead = {who for at, _, who, state in world.changes if at > began and state == DEAD}
    return {
        **known, "views_right_s": correct_s, "left_the_list": len(left_members),
        "held_dead_falsely": len(declared_dead), "fetches": len(world.fetches) - fetched,
    }  # fmt: skip


def restart(fleet: MeasuredFleet) -> dict:
    """A release: random members restart one after the other, down for 2 s each, without their disks."""
    world, names, started = fleet.world, fleet.pick_members(20), {}
    for name in names:
        world.kill(name)
        fleet.run(2)
        started[name] = world.now
        fleet.restart(name)
        fleet.run(1)
    fleet.run(20)
    starts = fleet.start_figures(names, started)
    return {
        "asked_most": max(starts["asked"]), "attempts_most": max(starts["attempts"]),
        "ready_slowest_s": slowest(starts["ready_s"]), "whole": starts["whole"],
        "restarted": len(names),
    }  # fmt: skip


def lonely(fleet: MeasuredFleet) -> dict:
    """A member restarts and can't reach any other member for two minutes."""
    world, name = fleet.world, fleet.rng.choice(fleet.names)
    world.is_partitioned = lambda a, b: name in (a, b)
    world.kill(name)
    fleet.run(2)
    began, traffic = world.now, list(world.traffic[name])
    fleet.restart(name)
    fleet.run(120)
    sent = world.traffic[name][1] - traffic[1]
    starts = fleet.start_figures([name], {name: began})
    world.is_partitioned, healed = lambda _, __: False, world.now
    synced_s = fleet.until(lambda: world.members[name].catch_up.started_at is None, 60, 0.25)
    fleet.run_until(max(world.now, healed + 30 * S))
    return {
        "ready_s": starts["ready_s"][0], "attempts": starts["attempts"][0],
        "datagrams_s": round(sent / 120, 2), "whole_after_heal_s": synced_s,
    }  # fmt: skip


def slowest(took: Iterable[float | None]) -> float | None:
    """The maximum; None if one of the values is missing."""
    took = list(took)
    return None if None in took else max(took, default=None)


SCRIPTS = {f.__name__: f for f in (rest, change, burst, kill, dead_cell, zone, region, restart, lonely)}
IN_CELLS_ONLY = {"dead_cell"}


def run_script(size: int, seed: int, script: str, in_cells: bool) -> dict:
    fleet = MeasuredFleet(size, seed, in_cells)
    return SCRIPTS[script](fleet) | {"bytes_s": fleet.traffic_rates()}
