"""Pure members on a simulated network: seeded loss, delay and cuts, in simulated time. For tests and
measurements.

`World` holds membership alone, `StateWorld` whole members: what they keep together, disks, clocks that are
off, cells. One heap of events in µs; a message is lost, delayed by `delay` plus up to `jitter`, or dropped by
a cut between two groups. A member is woken when it asks, as on sockets. Nothing here reads a clock or a
socket.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Collection

import orjson

from crowwing.fleet.member import Manner, Member
from crowwing.fleet.membership.cells import Layout
from crowwing.fleet.membership.swim import DEAD, Membership, Timing
from crowwing.fleet.state.replica import Row, Space

PAUSE_STEP = 10_000  # µs between two looks at whether a member that stands still goes on


class World:
    def __init__(self, size: int, seed: int, timing: Timing, delay: int = 500, jitter: int = 1500) -> None:
        self.seed, self.chance, self.timing = seed, random.Random(seed), timing
        self.now = 0
        self.names = [f"m{n}" for n in range(size)]
        self.loss, self.delay, self.jitter = 0.0, delay, jitter
        self.cut: Callable[[str, str], bool] = lambda _, __: False
        self.paused: set[str] = set()  # standing still, or killed
        self.killed: set[str] = set()
        # When, order, to whom; a message, or None for a turn.
        self.queue: list[tuple[int, int, str, bytes | dict | None]] = []
        self.order = 0
        self.sent = 0
        self.due: dict[
            str, int
        ] = {}  # the moment of each one's next turn; other turns in the queue are stale
        self.changes: list[tuple[int, str, str, str]] = []  # (µs, observer, member, state)
        self._begin()

    def _begin(self) -> None:
        self.members = {
            name: Membership(
                name, [o for o in self.names if o != name], 0, random.Random(f"{self.seed}/{name}"),
                self.timing,
            )
            for name in self.names
        }  # fmt: skip
        for name in self.names:
            self._wake(name, self.chance.randrange(self.timing.period))

    def _at(self, when: int, to: str, message: bytes | dict | None) -> None:
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, to, message))

    def _wake(self, name: str, when: int) -> None:
        self.due[name] = when
        self._at(when, name, None)

    def _under_way(self, name: str, to: str) -> int | None:
        """µs until a datagram is there; None: it does not come."""
        if self.chance.random() < self.loss or self.cut(name, to):
            return None
        return self.delay + self.chance.randrange(self.jitter + 1)

    def _carry(self, name: str) -> None:
        member = self.members[name]
        for to, message in member.outbox:
            self.sent += 1
            if (span := self._under_way(name, to)) is not None:
                self._at(self.now + span, to, message)
        member.outbox.clear()
        self.changes += [(self.now, name, who, state) for who, state, _ in member.changes]
        member.changes.clear()

    def run_until(self, until: int) -> None:
        queue, due = self.queue, self.due
        while queue and queue[0][0] <= until:
            when, _, to, message = heapq.heappop(queue)
            if message is None and when != due[to]:
                continue
            self.now = when
            if to in self.paused:
                if message is None and to not in self.killed:
                    self._wake(to, when + PAUSE_STEP)
                continue
            member = self.members[to]
            if message is None:
                due[to] = -1
                self._turn(to, member)
            else:
                self._hear(to, member, message)
            self._after(to)
        self.now = until

    def _after(self, name: str) -> None:
        """Carries what a member sends, and has it woken when it asks."""
        self._carry(name)
        wake_at = max(self.now + 1, self._wake_at(self.members[name]))
        if self.due[name] < 0 or wake_at < self.due[name]:
            self._wake(name, wake_at)

    def _turn(self, name: str, member: Membership) -> None:
        member.turn(self.now)

    def _hear(self, name: str, member: Membership, message: dict) -> None:
        member.heard(self.now, message)
        member.turn(self.now)

    def _wake_at(self, member: Membership) -> int:
        return member.wake_at()

    def kill(self, name: str) -> None:
        """Gone: nothing reaches it, and it sends nothing."""
        self.paused.add(name)
        self.killed.add(name)

    def held_dead(self, name: str, by: Collection[str] | None = None) -> bool:
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
    """Whole members. A member that is killed may start again, with its disk (what it wrote last) or without.
    In cells, a message between two regions takes `far` µs longer."""

    members: dict[str, Member]

    def __init__(
        self, size: int, seed: int, manner: Manner, spaces: dict[str, Space], offsets: dict[str, int] | None
        = None, delay: int = 500, jitter: int = 1500, layout: Layout | None = None, far: int = 0,
        in_step: bool = True, layouts: dict[str, Layout] | None = None,
    ) -> None:  # fmt: skip
        """`layout`: of the members' names, for a fleet in cells. `in_step`: all begin their first period in
        one µs, as processes that are started never do. `layouts`: those of members whose copy of the settings
        is another one; what they and others do not take of each other is counted, as link.py does.
        """
        self.in_step, self.layouts = in_step, layouts or {}
        self.manner, self.spaces, self.offsets, self.far = manner, spaces, offsets or {}, far
        self.layout = layout
        cells = layout.cell_of if layout is not None else {}
        self.region = {name: cell.partition("/")[0] for name, cell in cells.items()}
        self.disks: dict[str, list[Row]] = {}
        self.told: list[tuple[int, str, str, dict]] = []  # (µs, member, event, what it brings)
        self.bytes = self.fetched_rows = 0
        self.cut_fetch = 2_000_000  # µs until a fetch from one that is out of reach has failed
        self.fetches: list[tuple[int, str, str]] = []  # (µs, who asked, whom)
        self.serving: dict[str, list[int]] = {}  # the ends of the streams that each member gives
        super().__init__(size, seed, manner.timing, delay, jitter)

    def _begin(self) -> None:
        self.lives = dict.fromkeys(self.names, 0)
        self.dropped: Counter[str] = Counter()  # by the one that heard it; only with layouts of their own
        # Of each one, all told: bytes and datagrams sent, bytes and datagrams read, bytes of streams.
        self.traffic = {name: [0, 0, 0, 0, 0] for name in self.names}
        self.members = {}
        for name in self.names:
            first = self.chance.randrange(self.timing.period)
            self.members[name] = self._born(name, 0 if self.in_step else -first)
            self._wake(name, first if self.in_step else 0)

    def _born(self, name: str, at: int) -> Member:
        chance = random.Random(f"{self.seed}/{name}/{self.lives[name]}")
        layout = self.layouts.get(name, self.layout)
        named = self.names if layout is None else layout.cell_of
        others = [other for other in self.names if other != name and other in named]
        return Member(name, others, at, chance, self.manner, self.spaces, layout)

    def wall(self, name: str) -> int:
        """Unix time of the member's own clock; the world begins at an hour, so that none is below 0."""
        return 3_600_000_000 + self.now + self.offsets.get(name, 0)

    # The network

    def _apart(self, name: str, to: str) -> int:
        return self.far if self.far and self.region.get(name) != self.region.get(to) else 0

    def _turn(self, name: str, member: Member) -> None:
        member.turn(self.now, self.wall(name))

    def _hear(self, name: str, member: Member, message: bytes | dict) -> None:
        if isinstance(message, dict):  # the end of a stream
            if message["life"] == self.lives[name]:
                member.fetched(self.now, self.wall(name), message["fetched"], message["rows"])
            return
        mine = self.traffic[name]
        mine[2] += len(message)
        mine[3] += 1
        told = orjson.loads(message)
        try:
            if self.layouts and told["from"] not in member.layout.cell_of:
                raise ValueError(f"{told['from']}: a stranger")
            member.heard(self.now, self.wall(name), told)
        except ValueError:
            if not self.layouts:
                raise
            self.dropped[name] += 1

    def _wake_at(self, member: Member) -> int:
        return member.wake_at(self.now)

    def _carry(self, name: str) -> None:
        member, mine = self.members[name], self.traffic[name]
        for to, message in member.outbox:
            # Through bytes, as on a wire: what one changes later, another does not see.
            data = orjson.dumps(message)
            self.sent += 1
            self.bytes += len(data)
            mine[0] += len(data)
            mine[1] += 1
            if (span := self._under_way(name, to)) is not None:
                self._at(self.now + span + self._apart(name, to), to, data)
        member.outbox.clear()
        for other in member.fetches:
            self._fetch(name, other)
        member.fetches.clear()
        for event, brings in member.events:
            self.told.append((self.now, name, event, brings))
            if event == "member":
                self.changes.append((self.now, name, brings["name"], brings["state"]))
        member.events.clear()

    def _fetch(self, name: str, other: str) -> None:
        """A stream: slow where messages are lost, but whole or not at all; `streams_most` at once."""
        self.fetches.append((self.now, name, other))
        rows, took = None, self.cut_fetch
        strange = self.layouts and name not in self.members[other].layout.cell_of  # turned away by whole.py
        if (
            not strange
            and other not in self.paused
            and not self.cut(name, other)
            and not self.cut(other, name)
        ):
            took = 4 * (self.delay + self._apart(name, other))
            took += round(1e6 * self.loss * self.chance.random())
            busy = self.serving[other] = [end for end in self.serving.get(other, ()) if end > self.now]
            if len(busy) < self.streams_most:
                busy.append(self.now + took)
                asked = orjson.dumps({"from": name} | self.members[name].digests())
                given = orjson.dumps(self.members[other].missing(name, orjson.loads(asked)))
                rows = orjson.loads(given)
                self.fetched_rows += len(rows)
                for one in (name, other):
                    self.traffic[one][4] += len(asked) + len(given)
        told = {"fetched": other, "rows": rows, "life": self.lives[name]}
        self._at(self.now + took, name, told)

    streams_most = 4  # that a member gives at once, as whole.py has it

    # What a test does

    def do(self, name: str, what: Callable[[Member, int, int], object]) -> object:
        """Calls `what(member, now, wall)` and carries what came of it."""
        got = what(self.members[name], self.now, self.wall(name))
        self._after(name)
        return got

    def write(self, name: str) -> None:
        self.disks[name] = self.members[name].every()

    def restart(self, name: str, disk: bool) -> None:
        """A new life; the last one's messages that are still under way may reach it, as on a network."""
        self.lives[name] += 1
        self.paused.discard(name)
        self.killed.discard(name)
        member = self.members[name] = self._born(name, self.now)
        if disk:
            member.merge(self.wall(name), self.disks.get(name, []))
        self._wake(name, self.now)

    # What it looks at

    def roots(self) -> set[int]:
        """Of every member that runs: of what is for all, which in a flat fleet is everything."""
        for name in self.names:
            self.members[name].wide.copies.turn(self.wall(name))
        return {self.members[name].wide.copies.root() for name in self.names if name not in self.paused}

    def held_dead(self, name: str, by: Collection[str] | None = None) -> bool:
        """Every other live member that knows it: in cells, those of its own."""
        if by is None and self.layout is not None:
            by = self.layout.peers(name)
        return all(
            self.members[other].membership.members[name].state == DEAD
            for other in (by or self.names)
            if other != name and other not in self.paused
        )

    def dead_cells(self) -> frozenset[str]:
        """Those of which nobody runs."""
        if self.layout is None:
            return frozenset()
        some = {cell for name in self.paused if (cell := self.layout.cell_of.get(name)) is not None}
        return frozenset(cell for cell in some if self.paused.issuperset(self.layout.rosters[cell]))

    def agreed(self, out: Callable[[str], frozenset[str]] | None = None) -> bool:
        """Every live member holds dead, of those that it knows, just those that do not run; and, in cells,
        out of reach just those of which nobody runs, or what `out(name)` says."""
        dead = self.dead_cells()
        start = self.doubted if self.doubted is not None else 0
        for n in range(len(self.names)):
            name = self.names[(start + n) % len(self.names)]
            if name in self.paused:
                continue
            member = self.members[name]
            right = all(
                (other in self.paused) == (seen.state == DEAD)
                for other, seen in member.membership.members.items()
            )
            if not right or member.out() != (dead if out is None else out(name)):
                self.doubted = (start + n) % len(self.names)  # looked at first when asked again
                return False
        return True

    doubted: int | None = None
