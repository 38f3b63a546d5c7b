"""Members on a simulated network with seeded loss, delay and partitions, in simulated time. For tests and
measurements.

`SimulatedMembership` runs the failure detector alone, `SimulatedFleet` complete members: replicated state,
snapshots, clock offsets, cells. It is one heap of events in µs; a message is lost, delayed by `delay` plus up
to `jitter`, or dropped by a partition between two groups. Members are woken at the time they ask for, as on
sockets. Nothing here reads a clock or a socket.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Collection

import orjson

from crowwing.fleet.member import Member, MemberSettings
from crowwing.fleet.membership.cells import CellLayout
from crowwing.fleet.membership.swim import DEAD, Membership, Timing
from crowwing.fleet.state.replica import Keyspace, Row

PAUSE_STEP = 10_000  # µs between checks whether a paused member continues


class SimulatedMembership:
    def __init__(self, size: int, seed: int, timing: Timing, delay: int = 500, jitter: int = 1500) -> None:
        self.seed, self.rng, self.timing = seed, random.Random(seed), timing
        self.now = 0
        self.names = [f"m{n}" for n in range(size)]
        self.loss, self.delay, self.jitter = 0.0, delay, jitter
        self.is_partitioned: Callable[[str, str], bool] = lambda _, __: False
        self.paused: set[str] = set()  # stalled or killed
        self.killed: set[str] = set()
        # Time, sequence number, receiver; a message, or None for a tick.
        self.queue: list[tuple[int, int, str, bytes | dict | None]] = []
        self.sequence = 0
        self.sent = 0
        self.next_turn: dict[str, int] = {}  # next tick of each member; other ticks in the queue are stale
        self.changes: list[tuple[int, str, str, str]] = []  # (µs, observer, member, state)
        self._build_members()

    def _build_members(self) -> None:
        self.members = {
            name: Membership(
                name, [o for o in self.names if o != name], 0, random.Random(f"{self.seed}/{name}"),
                self.timing,
            )
            for name in self.names
        }  # fmt: skip
        for name in self.names:
            self._schedule_turn(name, self.rng.randrange(self.timing.period))

    def _schedule(self, when: int, to: str, message: bytes | dict | None) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (when, self.sequence, to, message))

    def _schedule_turn(self, name: str, when: int) -> None:
        self.next_turn[name] = when
        self._schedule(when, name, None)

    def _transit_time(self, name: str, to: str) -> int | None:
        """µs until a datagram arrives; None: it is lost."""
        if self.rng.random() < self.loss or self.is_partitioned(name, to):
            return None
        return self.delay + self.rng.randrange(self.jitter + 1)

    def _flush(self, name: str) -> None:
        member = self.members[name]
        for to, message in member.outbox:
            self.sent += 1
            if (span := self._transit_time(name, to)) is not None:
                self._schedule(self.now + span, to, message)
        member.outbox.clear()
        self.changes += [(self.now, name, who, state) for who, state, _ in member.changes]
        member.changes.clear()

    def run_until(self, until: int) -> None:
        queue, due = self.queue, self.next_turn
        while queue and queue[0][0] <= until:
            when, _, to, message = heapq.heappop(queue)
            if message is None and when != due[to]:
                continue
            self.now = when
            if to in self.paused:
                if message is None and to not in self.killed:
                    self._schedule_turn(to, when + PAUSE_STEP)
                continue
            member = self.members[to]
            if message is None:
                due[to] = -1
                self._tick(to, member)
            else:
                self._deliver(to, member, message)
            self._flush_and_reschedule(to)
        self.now = until

    def _flush_and_reschedule(self, name: str) -> None:
        """Sends the output of a member and schedules its next wake-up."""
        self._flush(name)
        wake_at = max(self.now + 1, self._next_wake_up(self.members[name]))
        if self.next_turn[name] < 0 or wake_at < self.next_turn[name]:
            self._schedule_turn(name, wake_at)

    def _tick(self, name: str, member: Membership) -> None:
        member.tick(self.now)

    def _deliver(self, name: str, member: Membership, message: dict) -> None:
        member.receive(self.now, message)
        member.tick(self.now)

    def _next_wake_up(self, member: Membership) -> int:
        return member.wake_at()

    def kill(self, name: str) -> None:
        """Kills a member: it receives and sends nothing."""
        self.paused.add(name)
        self.killed.add(name)

    def seen_dead(self, name: str, by: Collection[str] | None = None) -> bool:
        """Whether every other live member considers `name` dead."""
        return all(
            self.members[o].members[name].state == DEAD
            for o in (by or self.names)
            if o != name and o not in self.paused
        )

    def views_agree(self) -> bool:
        """Whether every live member considers the live members alive and the paused ones dead."""
        for name in self.names:
            if name in self.paused:
                continue
            for other, seen in self.members[name].members.items():
                if (other in self.paused) != (seen.state == DEAD):
                    return False
        return True


class SimulatedFleet(SimulatedMembership):
    """Complete members. A killed member may restart, with its last snapshot or without. In cells, a message
    between two regions takes `far` µs longer."""

    members: dict[str, Member]

    def __init__(
        self, size: int, seed: int, settings: MemberSettings, keyspaces: dict[str, Keyspace],
        offsets: dict[str, int] | None = None, delay: int = 500, jitter: int = 1500,
        layout: CellLayout | None = None, far: int = 0, in_step: bool = True,
        layouts: dict[str, CellLayout] | None = None,
    ) -> None:  # fmt: skip
        """`layout`: cells of the members, for a fleet with cells. `in_step`: all start their first period in
        the same µs, as real processes never do. `layouts`: layouts of members with a different copy of the
        settings; messages that they and the others reject are counted, as endpoint.py does.
        """
        self.in_step, self.layouts = in_step, layouts or {}
        self.settings, self.keyspaces, self.offsets, self.far = settings, keyspaces, offsets or {}, far
        self.layout = layout
        cells = layout.cell_of if layout is not None else {}
        self.region = {name: cell.partition("/")[0] for name, cell in cells.items()}
        self.snapshots: dict[str, list[Row]] = {}
        self.member_events: list[tuple[int, str, str, dict]] = []  # (µs, member, event, fields)
        self.bytes = self.fetched_rows = 0
        self.failed_fetch_delay = 2_000_000  # µs until a fetch from an unreachable member fails
        self.fetches: list[tuple[int, str, str]] = []  # (µs, requester, server)
        self.serving: dict[str, list[int]] = {}  # end times of the streams that each member serves
        super().__init__(size, seed, settings.timing, delay, jitter)

    def _build_members(self) -> None:
        self.incarnations = dict.fromkeys(self.names, 0)
        self.dropped: Counter[str] = Counter()  # by receiver; only with `layouts`
        # Per member: bytes and datagrams sent, bytes and datagrams received, bytes of streams.
        self.traffic = {name: [0, 0, 0, 0, 0] for name in self.names}
        self.members = {}
        for name in self.names:
            first = self.rng.randrange(self.timing.period)
            self.members[name] = self._new_member(name, 0 if self.in_step else -first)
            self._schedule_turn(name, first if self.in_step else 0)

    def _new_member(self, name: str, at: int) -> Member:
        rng = random.Random(f"{self.seed}/{name}/{self.incarnations[name]}")
        layout = self.layouts.get(name, self.layout)
        named = self.names if layout is None else layout.cell_of
        others = [other for other in self.names if other != name and other in named]
        return Member(name, others, at, rng, self.settings, self.keyspaces, layout)

    def wall(self, name: str) -> int:
        """Unix time of the member's own clock; it starts at one hour, so that none is below 0."""
        return 3_600_000_000 + self.now + self.offsets.get(name, 0)

    # The network

    def _region_delay(self, name: str, to: str) -> int:
        return self.far if self.far and self.region.get(name) != self.region.get(to) else 0

    def _tick(self, name: str, member: Member) -> None:
        member.tick(self.now, self.wall(name))

    def _deliver(self, name: str, member: Member, message: bytes | dict) -> None:
        if isinstance(message, dict):  # the end of a full transfer
            if message["life"] == self.incarnations[name]:
                member.fetch_completed(self.now, self.wall(name), message["fetched"], message["rows"])
            return
        counters = self.traffic[name]
        counters[2] += len(message)
        counters[3] += 1
        decoded = orjson.loads(message)
        try:
            if self.layouts and decoded["from"] not in member.layout.cell_of:
                raise ValueError(f"{decoded['from']}: a stranger")
            member.receive(self.now, self.wall(name), decoded)
        except ValueError:
            if not self.layouts:
                raise
            self.dropped[name] += 1

    def _next_wake_up(self, member: Member) -> int:
        return member.wake_at(self.now)

    def _flush(self, name: str) -> None:
        member, counters = self.members[name], self.traffic[name]
        for to, message in member.outbox:
            # Serialised as on a wire, so that later changes by one member are not seen by another.
            data = orjson.dumps(message)
            self.sent += 1
            self.bytes += len(data)
            counters[0] += len(data)
            counters[1] += 1
            if (span := self._transit_time(name, to)) is not None:
                self._schedule(self.now + span + self._region_delay(name, to), to, data)
        member.outbox.clear()
        for other in member.fetches:
            self._fetch(name, other)
        member.fetches.clear()
        for event, fields in member.events:
            self.member_events.append((self.now, name, event, fields))
            if event == "member":
                self.changes.append((self.now, name, fields["name"], fields["state"]))
        member.events.clear()

    def _fetch(self, name: str, other: str) -> None:
        """A full transfer: slower with loss, but complete or not at all; at most `max_streams` at once."""
        self.fetches.append((self.now, name, other))
        rows, duration = None, self.failed_fetch_delay
        # Rejected by full_transfer.py
        is_rejected = self.layouts and name not in self.members[other].layout.cell_of
        if (
            not is_rejected
            and other not in self.paused
            and not self.is_partitioned(name, other)
            and not self.is_partitioned(other, name)
        ):
            duration = 4 * (self.delay + self._region_delay(name, other))
            duration += round(1e6 * self.loss * self.rng.random())
            busy = self.serving[other] = [end for end in self.serving.get(other, ()) if end > self.now]
            if len(busy) < self.max_streams:
                busy.append(self.now + duration)
                request = orjson.dumps({"from": name} | self.members[name].digests())
                response = orjson.dumps(self.members[other].missing_rows(name, orjson.loads(request)))
                rows = orjson.loads(response)
                self.fetched_rows += len(rows)
                for one in (name, other):
                    self.traffic[one][4] += len(request) + len(response)
        completion = {"fetched": other, "rows": rows, "life": self.incarnations[name]}
        self._schedule(self.now + duration, name, completion)

    max_streams = 4  # served by a member at once, as in full_transfer.py

    # Actions of a test

    def run_on(self, name: str, what: Callable[[Member, int, int], object]) -> object:
        """Calls `what(member, now, wall)` and sends the output."""
        result = what(self.members[name], self.now, self.wall(name))
        self._flush_and_reschedule(name)
        return result

    def write_snapshot(self, name: str) -> None:
        self.snapshots[name] = self.members[name].all_rows()

    def restart(self, name: str, disk: bool) -> None:
        """Starts a new incarnation; messages still in flight to the previous one may reach it, as on a
        network."""
        self.incarnations[name] += 1
        self.paused.discard(name)
        self.killed.discard(name)
        member = self.members[name] = self._new_member(name, self.now)
        if disk:
            member.merge(self.wall(name), self.snapshots.get(name, []))
        self._schedule_turn(name, self.now)

    # Checks

    def roots(self) -> set[int]:
        """Root digests of the fleet-wide state of all running members; in a flat fleet that is all state."""
        for name in self.names:
            self.members[name].wide_dissemination.replica.expire(self.wall(name))
        return {
            self.members[name].wide_dissemination.replica.root()
            for name in self.names
            if name not in self.paused
        }

    def seen_dead(self, name: str, by: Collection[str] | None = None) -> bool:
        """Whether every other live member that tracks it considers it dead; in cells, the members of its
        cell."""
        if by is None and self.layout is not None:
            by = self.layout.peers(name)
        return all(
            self.members[other].membership.members[name].state == DEAD
            for other in (by or self.names)
            if other != name and other not in self.paused
        )

    def dead_cells(self) -> frozenset[str]:
        """Cells without a running member."""
        if self.layout is None:
            return frozenset()
        some = {cell for name in self.paused if (cell := self.layout.cell_of.get(name)) is not None}
        return frozenset(cell for cell in some if self.paused.issuperset(self.layout.rosters[cell]))

    def views_agree(self, out: Callable[[str], frozenset[str]] | None = None) -> bool:
        """Whether every live member considers dead exactly those of its peers that do not run, and, in cells,
        unreachable exactly the dead cells, or those of `out(name)`."""
        dead = self.dead_cells()
        start = self.last_disagreeing if self.last_disagreeing is not None else 0
        for n in range(len(self.names)):
            name = self.names[(start + n) % len(self.names)]
            if name in self.paused:
                continue
            member = self.members[name]
            right = all(
                (other in self.paused) == (seen.state == DEAD)
                for other, seen in member.membership.members.items()
            )
            if not right or member.unreachable_cells() != (dead if out is None else out(name)):
                self.last_disagreeing = (start + n) % len(self.names)  # checked first the next time
                return False
        return True

    last_disagreeing: int | None = None
