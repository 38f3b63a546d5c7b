"""Pure members on a simulated network: seeded loss, delay and cuts, in simulated time. For tests and
measurements.

`World` holds membership alone, `StateWorld` whole members: what they keep together, disks, clocks that are
off. One heap of events in µs; a message is lost, delayed by `delay` plus up to `jitter`, or dropped by a cut
between two groups. Nothing here reads a clock or a socket.
"""

import heapq
import random
from collections.abc import Callable

import orjson

from crowwing.fleet.member import Manner, Member
from crowwing.fleet.membership.cells import Layout
from crowwing.fleet.membership.swim import DEAD, Membership, Timing
from crowwing.fleet.state.copies import Row, Space


class World:
    def __init__(self, size: int, seed: int, timing: Timing, delay: int = 500, jitter: int = 1500) -> None:
        self.chance = random.Random(seed)
        self.now = 0
        self.names = [f"m{n}" for n in range(size)]
        self.members = {
            name: Membership(
                name, [o for o in self.names if o != name], 0, random.Random(f"{seed}/{name}"), timing
            )
            for name in self.names
        }
        self.loss, self.delay, self.jitter = 0.0, delay, jitter
        self.cut: Callable[[str, str], bool] = lambda _, __: False
        self.paused: set[str] = set()
        self.queue: list[
            tuple[int, int, str, dict | None]
        ] = []  # (when, order, to, message or None for a turn)
        self.order = 0
        self.sent = 0
        self.changes: list[tuple[int, str, str, str]] = []  # (µs, observer, member, state)
        for name in self.names:
            self._at(self.chance.randrange(timing.period), name, None)

    def _at(self, when: int, to: str, message: dict | None) -> None:
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, to, message))

    def _carry(self, name: str) -> None:
        member = self.members[name]
        for to, message in member.outbox:
            self.sent += 1
            if self.chance.random() < self.loss or self.cut(name, to):
                continue
            self._at(self.now + self.delay + self.chance.randrange(self.jitter + 1), to, message)
        member.outbox.clear()
        self.changes += [(self.now, name, who, state) for who, state, _ in member.changes]
        member.changes.clear()

    def run_until(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, to, message = heapq.heappop(self.queue)
            member = self.members[to]
            if to in self.paused:
                if message is None:
                    self._at(self.now + 10_000, to, None)
                continue
            if message is None:
                self._turn(to, member)
            else:
                self._hear(to, member, message)
            self._carry(to)
        self.now = until

    def _turn(self, name: str, member: Membership) -> None:
        member.turn(self.now)
        self._at(max(self.now + 1, member.wake_at()), name, None)

    def _hear(self, name: str, member: Membership, message: dict) -> None:
        member.heard(self.now, message)
        member.turn(self.now)

    def kill(self, name: str) -> None:
        """Gone for good: nothing reaches it, and it sends nothing."""
        self.paused.add(name)

    def held_dead(self, name: str, by: list[str] | None = None) -> bool:
        """Every other live member holds `name` dead."""
        return all(
            self.members[o].members[name].state == DEAD
            for o in (by or self.names)
            if o != name and o not in self.paused
        )

    def agreed(self) -> bool:
        """Every live member holds every live member alive and every paused one dead."""
        for name in self.names:
            if name in self.paused:
                continue
            for other, seen in self.members[name].members.items():
                if (other in self.paused) != (seen.state == DEAD):
                    return False
        return True


class StateWorld(World):
    """Whole members. A member that is killed may start again, with its disk (what it wrote last) or
    without."""

    members: dict[str, Member]

    def __init__(
        self, size: int, seed: int, manner: Manner, spaces: dict[str, Space], offsets: dict[str, int] | None
        = None, delay: int = 500, jitter: int = 1500, layout: Layout | None = None,
    ) -> None:  # fmt: skip
        """`layout`: of the members' names, for a fleet in cells."""
        self.layout = layout
        super().__init__(size, seed, manner.timing, delay, jitter)
        self.seed, self.manner, self.spaces, self.offsets = seed, manner, spaces, offsets or {}
        self.lives = dict.fromkeys(self.names, 0)
        self.disks: dict[str, list[Row]] = {}
        self.told: list[tuple[int, str, str, dict]] = []  # (µs, member, event, what it brings)
        self.members = {name: self._born(name) for name in self.names}

    def _born(self, name: str) -> Member:
        chance = random.Random(f"{self.seed}/{name}/{self.lives[name]}")
        others = [other for other in self.names if other != name]
        return Member(name, others, self.now, chance, self.manner, self.spaces, self.layout)

    def wall(self, name: str) -> int:
        """Unix time of the member's own clock; the world begins at an hour, so that none is below 0."""
        return 3_600_000_000 + self.now + self.offsets.get(name, 0)

    def _turn(self, name: str, member: Member) -> None:
        member.turn(self.now, self.wall(name))
        self._at(max(self.now + 1, member.wake_at(self.now)), name, None)

    def _hear(self, name: str, member: Member, message: dict) -> None:
        if "fetched" in message:
            if message["life"] == self.lives[name]:
                member.fetched(self.now, self.wall(name), message["fetched"], message["rows"])
        else:
            member.heard(self.now, self.wall(name), message)

    def _carry(self, name: str) -> None:
        member = self.members[name]
        for to, message in member.outbox:
            self.sent += 1
            self.bytes += len(orjson.dumps(message))
            if self.chance.random() < self.loss or self.cut(name, to):
                continue
            # Through bytes, as on a wire: what one changes later, another does not see.
            told = orjson.loads(orjson.dumps(message))
            self._at(self.now + self.delay + self.chance.randrange(self.jitter + 1), to, told)
        member.outbox.clear()
        for other in member.fetches:  # a stream: slow where messages are lost, but whole or not at all
            rows = None
            if other not in self.paused and not self.cut(name, other) and not self.cut(other, name):
                missing = self.members[other].missing(name, member.digests())
                rows = orjson.loads(orjson.dumps(list(missing)))
                self.fetched_rows += len(rows)
            took = (
                2_000_000 if rows is None else 4 * self.delay + round(1e6 * self.loss * self.chance.random())
            )
            told = {"fetched": other, "rows": rows, "life": self.lives[name]}
            self._at(self.now + took, name, told)
        member.fetches.clear()
        for event, brings in member.events:
            self.told.append((self.now, name, event, brings))
            if event == "member":
                self.changes.append((self.now, name, brings["name"], brings["state"]))
        member.events.clear()

    bytes = fetched_rows = 0

    # What a test does

    def do(self, name: str, what: Callable[[Member, int, int], object]) -> object:
        """Calls `what(member, now, wall)` and carries what came of it."""
        got = what(self.members[name], self.now, self.wall(name))
        self._carry(name)
        return got

    def write(self, name: str) -> None:
        self.disks[name] = self.members[name].every()

    def restart(self, name: str, disk: bool) -> None:
        """A new life; the last one's messages that are still under way may reach it, as on a network."""
        self.lives[name] += 1
        self.paused.discard(name)
        member = self.members[name] = self._born(name)
        if disk:
            member.merge(self.wall(name), self.disks.get(name, []))

    def roots(self) -> set[int]:
        """Of every member that runs."""
        for name in self.names:
            self.members[name].copies.turn(self.wall(name))
        return {self.members[name].copies.root() for name in self.names if name not in self.paused}

    def held_dead(self, name: str, by: list[str] | None = None) -> bool:
        return all(
            self.members[other].membership.members[name].state == DEAD
            for other in (by or self.names)
            if other != name and other not in self.paused
        )

    def agreed(self) -> bool:
        return all(
            (other in self.paused) == (seen.state == DEAD)
            for name in self.names
            if name not in self.paused
            for other, seen in self.members[name].membership.members.items()
        )
