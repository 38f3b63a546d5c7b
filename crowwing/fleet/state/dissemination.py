"""How one member's copy meets the others': deltas that ride on membership's messages, a comparing of digests
now and then, and updates that are told only once a majority holds them. Pure.

Sources: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (PODC 1987): rumours while
they are hot, anti-entropy for what rumours missed.

- What changed here rides on every message of the membership, the least often sent first, a few times log10 of
  the fleet; then it is cold.
- Every `sync_every` one member, drawn by chance, is told the sums of our 16 groups of leaves. It answers with
  its leaf sums of the groups that differ; we send what we hold in leaves that differ and ask for theirs. A
  round sends `give_most` bytes at most; where most leaves differ and the other holds much, the whole is
  fetched over a stream instead (`far`): a member too far behind gets a snapshot.
- An update to be acknowledged is given to every member at once, again each `again` until a majority (this one
  among them) has said that it holds it, or `wait` is over: then it is kept and spreads, and its caller is
  told how many hold it.

Where a fleet is in cells, its members have less to say to more of them (`Reached`): what is news goes at once
to `fan` members drawn by chance and, from a speaker of a state that is for all, to one member each of some
other cells (rumours pushed and dropped: Eugster, Guerraoui, Kermarrec, Massoulié, "Epidemic Information
Dissemination in Distributed Systems", Computer 2004); it rides less; copies are compared by one sum first;
and a few keepers by rule hold what is acknowledged, not a majority of all. What a member far behind reads
by comparing comes from one other at a time, is not told on as news, and each member gives a bounded part of
it: guards against a cell or zone that starts whole and reads the same copy from all sides. An empty copy is
told as that, without its sums.

Times in µs and chance are handed in: `now` only goes forward and times what is waited for, `wall` goes into
stamps. What is to be sent gathers in `outbox` as (member, message).
"""

import math
import random
from collections.abc import Callable, Container, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

import orjson

from crowwing.fleet.state.replica import A_GROUP, GROUPS, LEAVES, Copies, Row, Value

Message = dict


class Word(IntEnum):
    """Kinds of message; under 10 are the membership's."""

    SUMS, SAME, DIFFERS, GIVE, WANTS, GOT = 10, 11, 12, 13, 14, 15


@dataclass(frozen=True, slots=True)
class Pace:
    """Times in µs, sizes in bytes."""

    sync_every: int = 1_000_000
    again: int = 150_000  # until an update that is to be acknowledged is given again
    ride_most: int = 900  # of state on one message of the membership
    gift_most: int = 1200  # of one datagram of state: one frame of Ethernet
    give_most: int = 24_000  # of one comparing, each way
    retransmit: float = 3.0  # a change rides this many times log10 of the fleet
    far_leaves: int = 3 * LEAVES // 4  # this many leaves differ, and
    far_entries: int = 400  # so many entries there: fetched as a whole
    fan: int = 4  # in cells: members of the cell that are given news at once
    cells_at_once: int = 3  # in cells: other cells that a speaker gives news at once
    rides_in_cells: int = 2
    quiet: int = 1_000_000  # in cells: copies are compared this long after the last news,
    quiet_most: int = 5_000_000  # or this long after the last comparing, if news does not end
    gather: int = 100_000  # in cells: news that comes so soon after the last goes out together
    fill: int = 500_000  # in cells: so long what is far behind waits for one other before it asks the next
    eager: int = 10_000_000  # in cells: after a start, while nothing is kept, copies are compared oftener
    copies_burst: int = 48_000  # in cells: bytes that one member gives by comparing, at once
    copies_per_s: int = 200  # and for good; who starts with many others finds others that give


@dataclass(frozen=True, slots=True)
class Reached:
    """In a fleet in cells: whose word counts, and who is told."""

    keepers: frozenset[str]  # of this member's cell, perhaps this one too
    known: Container[str]  # from whom messages of this state are taken
    beyond: Callable[[int], list[str]] | None = None  # a speaker's: members of so many other cells; else none


@dataclass(slots=True)
class Update:
    """One that waits for a majority; `told` once it has it or its time is over."""

    row: Row
    until: int
    again: int
    tell: Callable[["Update"], None]
    held: set[str] = field(default_factory=set)  # members that say they hold it, this one not counted


class Spread:
    """One member's part; `heard` for each message of its kinds, `turn` at `wake_at` or sooner."""

    def __init__(
        self, me: str, peers: Sequence[str], copies: Copies, now: int, chance: random.Random, pace: Pace,
        reached: Reached | None = None,
    ) -> None:  # fmt: skip
        """`peers`: all other members, or those of the cell where `reached` is told."""
        self.me, self.copies, self.chance, self.pace, self.reached = me, copies, chance, pace, reached
        self.peers = frozenset(peers)
        self.known: Container[str] = self.peers if reached is None else reached.known
        self.keepers = frozenset((me, *peers)) if reached is None else reached.keepers
        self.majority = len(self.keepers) // 2 + 1  # of all that keep what is acknowledged, this one too
        self.fresh: dict[str, None] = {}  # keys whose news is to go out at once; emptied by each turn
        self.hot: dict[str, int] = {}  # a key that changed -> times sent; emptied as sent often enough
        self.rides = max(1, math.ceil(pace.retransmit * math.log10(len(self.peers) + 2)))
        if reached is not None:
            self.rides = pace.rides_in_cells
        self.updates: dict[int, Update] = {}  # by number; emptied by a majority or their time
        self.number = 0
        self.sync_at = now + chance.randrange(pace.sync_every)
        self.news_at = self.compared_at = now - pace.quiet
        self.filling_until, self.eager_until = now, now + pace.eager
        # Bytes left to give by comparing; keepers give over streams besides.
        self.burst = pace.copies_burst / (2 if me in self.keepers else 1)
        self.may_give, self.gave_at = self.burst, now
        self.outbox: list[tuple[str, Message]] = []
        self.far: set[str] = set()  # members to fetch the whole from; emptied by whoever fetches
        self.sent = 0  # rows

    def wake_at(self) -> int:
        moments = [self.sync_at, *(min(u.again, u.until) for u in self.updates.values())]
        if self.fresh:
            moments.append(self.news_at + self.pace.gather)
        return min(moments)

    # Saying something

    def put(self, wall: int, key: str, value: Value, life: int) -> Row:
        """Kept here and spread as it comes; NotKept where it cannot be."""
        row = self.copies.put(wall, key, value, life)
        self.changed([row[0]])
        return row

    def update(
        self, now: int, row: Row, alive: Iterable[str], wait: int, tell: Callable[[Update], None]
    ) -> Update:
        """Tells once a majority of all members holds the row, or one that outranks it; or `wait` is over."""
        self.number += 1
        update = self.updates[self.number] = Update(row, now + wait, now + self.pace.again, tell)
        self._give_again(self.number, update, alive)
        self._settle(now)
        return update

    def holders(self, update: Update) -> int:
        """How many that count are known to hold it."""
        return len(update.held) + (self.me in self.keepers)

    def is_held(self, update: Update) -> bool:
        return self.holders(update) >= self.majority

    def _give_again(self, number: int, update: Update, to: Iterable[str]) -> None:
        for name in to:
            if name in self.keepers and name not in update.held:
                self._send(name, Word.GIVE, rows=[update.row], ack=number)

    def _settle(self, now: int) -> None:
        for number, update in list(self.updates.items()):
            if self.is_held(update) or now >= update.until:
                del self.updates[number]
                update.tell(update)

    # Deltas

    def changed(self, keys: Iterable[str]) -> None:
        for key in keys:
            self.hot[key] = 0
            if self.reached is not None:
                self.fresh[key] = None

    def ride(self) -> list[Row]:
        """What goes with a message of the membership now."""
        rows, size = [], 0
        for key in sorted(self.hot, key=self.hot.__getitem__):
            if key not in self.copies.entries:
                del self.hot[key]  # it ran out
                continue
            row = self.copies.row(key)
            size += len(orjson.dumps(row)) + 1
            if rows and size > self.pace.ride_most:
                break
            rows.append(row)
            self.hot[key] += 1
            if self.hot[key] >= self.rides:
                del self.hot[key]
        return rows

    def rode(self, wall: int, rows: Iterable[Row]) -> None:
        """What came with a message of the membership: what is news here rides on."""
        self.changed(self.copies.merge(wall, rows))

    # Time

    def turn(self, now: int, wall: int, alive: Sequence[str]) -> None:
        self.copies.turn(wall)
        for number, update in self.updates.items():
            if now >= update.again:
                update.again = now + self.pace.again
                self._give_again(number, update, alive)
        self._settle(now)
        if self.fresh and now - self.news_at >= self.pace.gather:
            self.news_at = now
            self._push(alive)
        if now >= self.sync_at and self.reached is not None and self._is_busy(now):
            self.sync_at = min(self.news_at + self.pace.quiet, self.compared_at + self.pace.quiet_most)
        if now >= self.sync_at:
            self.compared_at = now
            # Within a tenth by chance: members started together do not compare in step.
            every = self.pace.sync_every // (4 if self.is_empty and now < self.eager_until else 1)
            self.sync_at = now + round(every * (0.9 + 0.2 * self.chance.random()))
            if alive:
                self.compare(self.chance.choice(list(alive)))
            for name in self._beyond(1):
                self.compare(name)

    @property
    def is_empty(self) -> bool:
        """In cells: nothing is kept here, as after a start without a disk."""
        return self.reached is not None and not self.copies.entries

    def _is_busy(self, now: int) -> bool:
        """Guards against comparing copies, thousands of bytes where they differ, while news is still on its
        way to both."""
        return now < min(self.news_at + self.pace.quiet, self.compared_at + self.pace.quiet_most)

    def _beyond(self, cells: int) -> list[str]:
        return [] if self.reached is None or self.reached.beyond is None else self.reached.beyond(cells)

    def _push(self, alive: Sequence[str]) -> None:
        """News goes out at once, once."""
        keys = [key for key in self.fresh if key in self.copies.entries]
        self.fresh.clear()
        if not keys:
            return
        to = self.chance.sample(list(alive), min(self.pace.fan, len(alive)))
        batches = list(self._batches(self.copies.row(key) for key in keys))
        for name in [*to, *self._beyond(self.pace.cells_at_once)]:
            for rows in batches:
                self._send(name, Word.GIVE, rows=rows)

    def compare(self, to: str) -> None:
        if self.reached is None:
            self._send_sums(to)
        else:
            self._send(to, Word.SUMS, root=self.copies.root())

    def _send_sums(self, to: str) -> None:
        self._send(to, Word.SUMS, groups=self.copies.groups(), n=len(self.copies.entries))

    # Messages

    def heard(self, now: int, wall: int, message: Message) -> None:
        """ValueError, KeyError or TypeError for one that is not whole; it changes nothing."""
        sender, word = message["from"], Word(message["k"])
        if sender not in self.known:
            raise ValueError(f"{sender}: no member of this fleet")
        if word is Word.SUMS and "root" in message:
            if int(message["root"]) != self.copies.root():
                self._send_sums(sender)
        elif word is Word.SUMS:
            self._sums(now, sender, [int(one) for one in message["groups"]], int(message["n"]))
        elif word is Word.DIFFERS:
            theirs = {int(leaf): int(one) for leaf, one in message["leaves"]}
            if any(not 0 <= leaf < LEAVES for leaf in theirs):
                raise ValueError("no leaf")
            self._differs(now, sender, theirs, int(message["n"]))
        elif word is Word.WANTS:
            wanted = [int(leaf) for leaf in message["leaves"]]
            if any(not 0 <= leaf < LEAVES for leaf in wanted):
                raise ValueError("no leaf")
            self._give(now, sender, wanted)
        elif word is Word.GIVE:
            rows = message["rows"]
            changed = self.copies.merge(wall, rows)
            # By comparing comes news where it is little, missed on its way; not after one's own start.
            if not (copied := int(message.get("copy", 0))) or (copied == 1 and now >= self.eager_until):
                self.changed(changed)
            if "ack" in message and all(self.copies.holds(row) for row in rows):
                self._send(sender, Word.GOT, ack=int(message["ack"]))
        elif word is Word.GOT:
            update = self.updates.get(int(message["ack"]))
            if update is not None and sender in self.keepers:
                update.held.add(sender)
                self._settle(now)

    def _fills(self, now: int, differ: int, of: int) -> bool:
        """Whether to read what differs now: much of it from one other at a time."""
        if self.reached is None or 2 * differ < of:
            return True
        if now < self.filling_until:
            return False
        self.filling_until = now + self.pace.fill
        return True

    def _sums(self, now: int, sender: str, groups: list[int], n: int) -> None:
        if len(groups) != GROUPS:
            raise ValueError("no sums of ours")
        mine = self.copies.groups()
        differ = [n for n in range(GROUPS) if groups[n] != mine[n]]
        if not differ:
            self._send(sender, Word.SAME)
            return
        if self.reached is not None and not n:
            self._give(now, sender, range(LEAVES))
            return
        if not self._fills(now, len(differ), GROUPS):
            return
        if self.is_empty:
            self._send(sender, Word.DIFFERS, leaves=[], n=0)
            return
        leaves = [leaf for n in differ for leaf in range(n * A_GROUP, (n + 1) * A_GROUP)]
        told = [[leaf, self.copies.leaves[leaf]] for leaf in leaves]
        self._send(sender, Word.DIFFERS, leaves=told, n=len(self.copies.entries))

    def _differs(self, now: int, sender: str, theirs: dict[int, int], n: int) -> None:
        if self.reached is not None and not n:
            self._give(now, sender, range(LEAVES))
            return
        differ = [leaf for leaf, one in theirs.items() if one != self.copies.leaves[leaf]]
        if len(differ) >= self.pace.far_leaves and n >= self.pace.far_entries:
            self.far.add(sender)
            return
        self.chance.shuffle(differ)  # of what is too much for one round, another part each time
        self._give(now, sender, differ)
        if self._fills(now, len(differ), LEAVES):
            self._send(sender, Word.WANTS, leaves=differ)

    def _give(self, now: int, to: str, leaves: Iterable[int]) -> None:
        if self.reached is None:
            for rows in self._batches(self.copies.rows(leaves), self.pace.give_most):
                self._send(to, Word.GIVE, rows=rows)
            return
        came = (now - self.gave_at) * self.pace.copies_per_s / 1e6
        self.may_give, self.gave_at = min(self.may_give + came, self.burst), now
        order = list(leaves)
        self.chance.shuffle(order)  # who starts with many others has another part from each
        batches = list(self._batches(self.copies.rows(order), self.pace.give_most))
        for rows in batches:
            if self.may_give <= 0 and len(batches) > 1:
                return
            self.may_give -= len(orjson.dumps(rows))
            self._send(to, Word.GIVE, rows=rows, copy=len(batches))

    def _batches(self, every: Iterable[Row], most: int | None = None) -> Iterator[list[Row]]:
        """Rows as they go into datagrams, up to `most` bytes of them in all."""
        rows, size, whole = [], 0, 0
        for row in every:
            more = len(orjson.dumps(row)) + 1
            if rows and size + more > self.pace.gift_most:
                yield rows
                rows, size = [], 0
            if most is not None and whole + more > most:
                break
            rows.append(row)
            size, whole = size + more, whole + more
        if rows:
            yield rows

    def _send(self, to: str, word: Word, **fields: object) -> None:
        self.sent += len(fields.get("rows", ()))  # type: ignore[arg-type]
        self.outbox.append((to, {"k": int(word), "from": self.me, **fields}))

    # A whole copy over a stream

    def missing(self, leaves: Sequence[int] | str) -> Iterable[Row]:
        """What a member that holds these leaf sums lacks of ours; leaves that agree are left out. In cells
        they are packed. ValueError for what are none."""
        if isinstance(leaves, str):
            return self.copies.rows(self.copies.unlike(leaves))
        if len(leaves) != LEAVES:
            raise ValueError("no sums of ours")
        return self.copies.rows([n for n in range(LEAVES) if int(leaves[n]) != self.copies.leaves[n]])

    def took(self, wall: int, rows: Iterable[Row]) -> int:
        """What came over a stream; how much of it was news. It does not ride: the others have it."""
        return len(self.copies.merge(wall, rows))
