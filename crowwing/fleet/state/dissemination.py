"""Replication of one member's entries to the others: piggybacked deltas, periodic comparison of digests, and
updates that are acknowledged once a majority holds them. Pure.

Sources: Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (PODC 1987): rumour
mongering for hot updates, anti-entropy for what the rumours missed.

- A changed entry is piggybacked on a number of membership messages that is proportional to log10 of the fleet
  size; entries sent least often go first.
- Every `sync_every` one random member is sent the digests of our 16 groups of leaves. It answers with its
  leaf digests of the groups that differ; we send our entries of the leaves that differ and request its
  entries. A round sends at most `max_sync_bytes`. Where most leaves differ and the other member holds many
  entries, we request a full transfer over a stream instead (`full_transfer_peers`).
- An update to be acknowledged is sent to every member at once and again each `resend_after` until a majority
  (this member included) has acknowledged it or `wait` is over. In both cases it stays stored and keeps
  spreading, and the caller is told how many members hold it.

In a fleet with cells (`CellScope`) each member sends less to more members. Changes are pushed immediately,
and once, to `fanout` random members. A speaker also pushes those of fleet-wide state to one member each of
some other cells (Eugster, Guerraoui, Kermarrec, Massoulié, "Epidemic Information Dissemination in Distributed
Systems", Computer 2004). Changes are piggybacked fewer times, replicas are first compared by their root
digest, and the majority is that of a few quorum members instead of all. A member far behind requests rows
from one peer at a time and does not spread what it gets, and each member sends a bounded number of bytes for
such repairs. Otherwise, after the restart of an entire cell or zone, all its members would read the same
replica at once. An empty replica is announced as such, without digests.

Times in µs and randomness are passed in: `now` is monotonic and used for time-outs, `wall` is used for
timestamps. Messages to send collect in `outbox` as (member, message).
"""

import math
import random
from collections.abc import Callable, Container, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

import orjson

from crowwing.fleet.state.replica import GROUPS, LEAVES, LEAVES_PER_GROUP, Replica, Row, Value

Message = dict


class StateMessageKind(IntEnum):
    """Kinds of message; those under 10 belong to the membership protocol."""

    DIGESTS, IN_SYNC, LEAF_DIGESTS, ROWS, ROWS_WANTED, ROWS_STORED = 10, 11, 12, 13, 14, 15


@dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """Times in µs, sizes in bytes."""

    sync_every: int = 1_000_000
    resend_after: int = 150_000  # until an unacknowledged update is sent again
    max_piggyback_bytes: int = 900  # of entries on one membership message
    max_datagram_bytes: int = 1200  # of entries in one datagram, which has to fit one Ethernet frame
    max_sync_bytes: int = 24_000  # of entries per sync round, each way
    retransmit: float = 3.0  # a change is piggybacked this many times log10 of the fleet size
    full_transfer_leaves: int = 3 * LEAVES // 4  # full transfer if this many leaves differ, and
    full_transfer_entries: int = 400  # the other member holds this many entries
    fanout: int = 4  # in cells: members of the cell to which a change is pushed
    cell_fanout: int = 3  # in cells: other cells to which a speaker pushes a change
    piggybacks_in_cells: int = 2
    quiet_period: int = 1_000_000  # in cells: sync starts this long after the last change,
    max_sync_delay: int = 5_000_000  # or this long after the last sync, if changes do not end
    push_interval: int = 100_000  # in cells: changes within this time are pushed together
    repair_timeout: int = 500_000  # in cells: a member far behind waits this long for one peer
    eager_sync_period: int = 10_000_000  # in cells: after a start, while empty, sync runs more often
    repair_burst_bytes: int = 48_000  # in cells: bytes that one member sends for repairs at once
    repair_bytes_per_s: int = 200  # refill of that budget; a peer that gets too little asks others


@dataclass(frozen=True, slots=True)
class CellScope:
    """In a fleet with cells: whose acknowledgements count, and who gets messages."""

    quorum_members: frozenset[str]  # of this member's cell, possibly this member too
    accepted_senders: Container[str]  # whose messages about this state are accepted
    # Returns members of that many other cells; none unless this member is a speaker.
    contacts_in_other_cells: Callable[[int], list[str]] | None = None


@dataclass(slots=True)
class Update:
    """An update that waits for a majority; `on_complete` is called once, at the majority or the deadline."""

    row: Row
    deadline: int
    resend_at: int
    on_complete: Callable[["Update"], None]
    holders: set[str] = field(default_factory=set)  # members that acknowledged it, without this one


class Dissemination:
    """One member's part; call `receive` for each message of its kinds and `tick` at `wake_at` or sooner."""

    def __init__(
        self, me: str, peers: Sequence[str], replica: Replica, now: int, rng: random.Random,
        settings: DisseminationSettings, scope: CellScope | None = None,
    ) -> None:  # fmt: skip
        """`peers`: all other members, or those of the cell if `scope` is given."""
        self.me, self.replica, self.rng, self.settings, self.scope = me, replica, rng, settings, scope
        self.peers = frozenset(peers)
        self.accepted_senders: Container[str] = self.peers if scope is None else scope.accepted_senders
        self.quorum_members = frozenset((me, *peers)) if scope is None else scope.quorum_members
        self.majority = len(self.quorum_members) // 2 + 1
        self.unpushed_keys: dict[str, None] = {}  # changed keys to push; emptied by each push
        self.hot_keys: dict[str, int] = {}  # changed key -> times piggybacked; removed when sent often enough
        self.max_piggybacks = max(1, math.ceil(settings.retransmit * math.log10(len(self.peers) + 2)))
        if scope is not None:
            self.max_piggybacks = settings.piggybacks_in_cells
        self.pending_updates: dict[int, Update] = {}  # by number; removed at a majority or the deadline
        self.update_number = 0
        self.next_sync = now + rng.randrange(settings.sync_every)
        self.last_push = self.last_sync = now - settings.quiet_period
        self.repair_until, self.eager_sync_until = now, now + settings.eager_sync_period
        # Bytes left for repairs; half for quorum members, which also serve full transfers.
        self.repair_burst = settings.repair_burst_bytes / (2 if me in self.quorum_members else 1)
        self.repair_budget, self.budget_updated_at = self.repair_burst, now
        self.outbox: list[tuple[str, Message]] = []
        self.full_transfer_peers: set[str] = set()  # to fetch from; emptied by the caller that fetches
        self.rows_sent = 0

    def wake_at(self) -> int:
        times = [self.next_sync, *(min(u.resend_at, u.deadline) for u in self.pending_updates.values())]
        if self.unpushed_keys:
            times.append(self.last_push + self.settings.push_interval)
        return min(times)

    # Local updates

    def put(self, wall: int, key: str, value: Value, lifetime: int) -> Row:
        """Stores a row and spreads it without acknowledgement; EntryRejectedError if it cannot be stored."""
        row = self.replica.put(wall, key, value, lifetime)
        self.mark_changed([row[0]])
        return row

    def replicate(
        self, now: int, row: Row, alive: Iterable[str], wait: int, on_complete: Callable[[Update], None]
    ) -> Update:
        """Calls `on_complete` once a majority holds the row or one that outranks it, or `wait` is over."""
        self.update_number += 1
        update = self.pending_updates[self.update_number] = Update(
            row, now + wait, now + self.settings.resend_after, on_complete
        )
        self._resend(self.update_number, update, alive)
        self._complete_updates(now)
        return update

    def holder_count(self, update: Update) -> int:
        """Number of quorum members known to hold it."""
        return len(update.holders) + (self.me in self.quorum_members)

    def has_majority(self, update: Update) -> bool:
        return self.holder_count(update) >= self.majority

    def _resend(self, number: int, update: Update, to: Iterable[str]) -> None:
        for name in to:
            if name in self.quorum_members and name not in update.holders:
                self._send(name, StateMessageKind.ROWS, rows=[update.row], ack=number)

    def _complete_updates(self, now: int) -> None:
        for number, update in list(self.pending_updates.items()):
            if self.has_majority(update) or now >= update.deadline:
                del self.pending_updates[number]
                update.on_complete(update)

    # Deltas

    def mark_changed(self, keys: Iterable[str]) -> None:
        for key in keys:
            self.hot_keys[key] = 0
            if self.scope is not None:
                self.unpushed_keys[key] = None

    def piggyback_rows(self) -> list[Row]:
        """Rows for the next membership message."""
        rows, size = [], 0
        for key in sorted(self.hot_keys, key=self.hot_keys.__getitem__):
            if key not in self.replica.entries:
                del self.hot_keys[key]  # it has expired
                continue
            row = self.replica.row(key)
            size += len(orjson.dumps(row)) + 1
            if rows and size > self.settings.max_piggyback_bytes:
                break
            rows.append(row)
            self.hot_keys[key] += 1
            if self.hot_keys[key] >= self.max_piggybacks:
                del self.hot_keys[key]
        return rows

    def receive_piggybacked(self, wall: int, rows: Iterable[Row]) -> None:
        """Merges rows from a membership message; those that changed something here spread further."""
        self.mark_changed(self.replica.merge(wall, rows))

    # Time

    def tick(self, now: int, wall: int, alive: Sequence[str]) -> None:
        self.replica.expire(wall)
        for number, update in self.pending_updates.items():
            if now >= update.resend_at:
                update.resend_at = now + self.settings.resend_after
                self._resend(number, update, alive)
        self._complete_updates(now)
        if self.unpushed_keys and now - self.last_push >= self.settings.push_interval:
            self.last_push = now
            self._push(alive)
        if now >= self.next_sync and self.scope is not None and self._has_recent_changes(now):
            self.next_sync = min(
                self.last_push + self.settings.quiet_period, self.last_sync + self.settings.max_sync_delay
            )
        if now >= self.next_sync:
            self.last_sync = now
            # Jitter of a tenth: members started together do not sync in step.
            every = self.settings.sync_every // (4 if self.is_empty and now < self.eager_sync_until else 1)
            self.next_sync = now + round(every * (0.9 + 0.2 * self.rng.random()))
            if alive:
                self.start_sync(self.rng.choice(list(alive)))
            for name in self._contacts_in_other_cells(1):
                self.start_sync(name)

    @property
    def is_empty(self) -> bool:
        """In cells: there are no entries, as after a start without a snapshot."""
        return self.scope is not None and not self.replica.entries

    def _has_recent_changes(self, now: int) -> bool:
        """Whether sync should wait: comparing replicas that differ takes thousands of bytes, which is wasted
        while recent changes are still on their way to both."""
        return now < min(
            self.last_push + self.settings.quiet_period, self.last_sync + self.settings.max_sync_delay
        )

    def _contacts_in_other_cells(self, cells: int) -> list[str]:
        return (
            []
            if self.scope is None or self.scope.contacts_in_other_cells is None
            else self.scope.contacts_in_other_cells(cells)
        )

    def _push(self, alive: Sequence[str]) -> None:
        """Sends each changed row once, to a few members."""
        keys = [key for key in self.unpushed_keys if key in self.replica.entries]
        self.unpushed_keys.clear()
        if not keys:
            return
        to = self.rng.sample(list(alive), min(self.settings.fanout, len(alive)))
        batches = list(self._batches(self.replica.row(key) for key in keys))
        for name in [*to, *self._contacts_in_other_cells(self.settings.cell_fanout)]:
            for rows in batches:
                self._send(name, StateMessageKind.ROWS, rows=rows)

    def start_sync(self, to: str) -> None:
        if self.scope is None:
            self._send_group_digests(to)
        else:
            self._send(to, StateMessageKind.DIGESTS, root=self.replica.root())

    def _send_group_digests(self, to: str) -> None:
        self._send(
            to, StateMessageKind.DIGESTS, groups=self.replica.group_digests(), n=len(self.replica.entries)
        )

    # Messages

    def receive(self, now: int, wall: int, message: Message) -> None:
        """ValueError, KeyError or TypeError for a malformed message, which changes nothing."""
        sender, kind = message["from"], StateMessageKind(message["k"])
        if sender not in self.accepted_senders:
            raise ValueError(f"{sender}: is not a member of this fleet")
        if kind is StateMessageKind.DIGESTS and "root" in message:
            if int(message["root"]) != self.replica.root():
                self._send_group_digests(sender)
        elif kind is StateMessageKind.DIGESTS:
            self._on_group_digests(now, sender, [int(one) for one in message["groups"]], int(message["n"]))
        elif kind is StateMessageKind.LEAF_DIGESTS:
            theirs = {int(leaf): int(one) for leaf, one in message["leaves"]}
            if any(not 0 <= leaf < LEAVES for leaf in theirs):
                raise ValueError("leaf number out of range")
            self._on_leaf_digests(now, sender, theirs, int(message["n"]))
        elif kind is StateMessageKind.ROWS_WANTED:
            wanted = [int(leaf) for leaf in message["leaves"]]
            if any(not 0 <= leaf < LEAVES for leaf in wanted):
                raise ValueError("leaf number out of range")
            self._send_rows(now, sender, wanted)
        elif kind is StateMessageKind.ROWS:
            rows = message["rows"]
            changed = self.replica.merge(wall, rows)
            # Rows from a sync spread further only if they fit one datagram, as a few missed updates do, and
            # not shortly after the start of this member.
            if not (datagrams := int(message.get("copy", 0))) or (
                datagrams == 1 and now >= self.eager_sync_until
            ):
                self.mark_changed(changed)
            if "ack" in message and all(self.replica.holds(row) for row in rows):
                self._send(sender, StateMessageKind.ROWS_STORED, ack=int(message["ack"]))
        elif kind is StateMessageKind.ROWS_STORED:
            update = self.pending_updates.get(int(message["ack"]))
            if update is not None and sender in self.quorum_members:
                update.holders.add(sender)
                self._complete_updates(now)

    def _may_request_rows(self, now: int, differ: int, of: int) -> bool:
        """Whether to request the differing rows now; in cells, large differences from one peer at a time."""
        if self.scope is None or 2 * differ < of:
            return True
        if now < self.repair_until:
            return False
        self.repair_until = now + self.settings.repair_timeout
        return True

    def _on_group_digests(self, now: int, sender: str, groups: list[int], n: int) -> None:
        if len(groups) != GROUPS:
            raise ValueError("wrong number of digests")
        mine = self.replica.group_digests()
        differ = [n for n in range(GROUPS) if groups[n] != mine[n]]
        if not differ:
            self._send(sender, StateMessageKind.IN_SYNC)
            return
        if self.scope is not None and not n:
            self._send_rows(now, sender, range(LEAVES))
            return
        if not self._may_request_rows(now, len(differ), GROUPS):
            return
        if self.is_empty:
            self._send(sender, StateMessageKind.LEAF_DIGESTS, leaves=[], n=0)
            return
        leaves = [leaf for n in differ for leaf in range(n * LEAVES_PER_GROUP, (n + 1) * LEAVES_PER_GROUP)]
        digests = [[leaf, self.replica.leaf_digests[leaf]] for leaf in leaves]
        self._send(sender, StateMessageKind.LEAF_DIGESTS, leaves=digests, n=len(self.replica.entries))

    def _on_leaf_digests(self, now: int, sender: str, theirs: dict[int, int], n: int) -> None:
        if self.scope is not None and not n:
            self._send_rows(now, sender, range(LEAVES))
            return
        differ = [leaf for leaf, one in theirs.items() if one != self.replica.leaf_digests[leaf]]
        if len(differ) >= self.settings.full_transfer_leaves and n >= self.settings.full_transfer_entries:
            self.full_transfer_peers.add(sender)
            return
        self.rng.shuffle(differ)  # if it is too much for one round, a different part each time
        self._send_rows(now, sender, differ)
        if self._may_request_rows(now, len(differ), LEAVES):
            self._send(sender, StateMessageKind.ROWS_WANTED, leaves=differ)

    def _send_rows(self, now: int, to: str, leaves: Iterable[int]) -> None:
        if self.scope is None:
            for rows in self._batches(self.replica.rows(leaves), self.settings.max_sync_bytes):
                self._send(to, StateMessageKind.ROWS, rows=rows)
            return
        refill = (now - self.budget_updated_at) * self.settings.repair_bytes_per_s / 1e6
        self.repair_budget, self.budget_updated_at = min(self.repair_budget + refill, self.repair_burst), now
        order = list(leaves)
        self.rng.shuffle(order)  # members that start together get a different part from each peer
        batches = list(self._batches(self.replica.rows(order), self.settings.max_sync_bytes))
        for rows in batches:
            if self.repair_budget <= 0 and len(batches) > 1:
                return
            self.repair_budget -= len(orjson.dumps(rows))
            self._send(to, StateMessageKind.ROWS, rows=rows, copy=len(batches))

    def _batches(self, all_rows: Iterable[Row], max_bytes: int | None = None) -> Iterator[list[Row]]:
        """Splits rows into datagrams, up to `max_bytes` in total."""
        rows, size, total = [], 0, 0
        for row in all_rows:
            more = len(orjson.dumps(row)) + 1
            if rows and size + more > self.settings.max_datagram_bytes:
                yield rows
                rows, size = [], 0
            if max_bytes is not None and total + more > max_bytes:
                break
            rows.append(row)
            size, total = size + more, total + more
        if rows:
            yield rows

    def _send(self, to: str, kind: StateMessageKind, **fields: object) -> None:
        self.rows_sent += len(fields.get("rows", ()))  # type: ignore[arg-type]
        self.outbox.append((to, {"k": int(kind), "from": self.me, **fields}))

    # Full transfer over a stream

    def missing_rows(self, leaves: Sequence[int] | str) -> Iterable[Row]:
        """Rows of the leaves whose digests differ from these, which are encoded in cells. ValueError for
        malformed digests."""
        if isinstance(leaves, str):
            return self.replica.rows(self.replica.differing_leaves(leaves))
        if len(leaves) != LEAVES:
            raise ValueError("wrong number of digests")
        return self.replica.rows([n for n in range(LEAVES) if int(leaves[n]) != self.replica.leaf_digests[n]])

    def receive_full_transfer(self, wall: int, rows: Iterable[Row]) -> int:
        """Merges a full transfer; returns the number of changes. They do not spread: the others have them."""
        return len(self.replica.merge(wall, rows))
