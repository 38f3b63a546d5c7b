"""One complete member of the fleet without I/O: failure detection, replicated state, dissemination and
catch-up.

The same code runs on sockets (adapters/endpoint.py), in simulated time (simulated_fleet.py) and under the
model checkers. Two clocks are passed in, in µs: `now` is monotonic and used for time-outs; `wall` is the
system clock and used for timestamps. Output collects for the caller, which empties it: `outbox` (member,
message), `fetches` (members to request a full transfer from; each is answered by `fetch_completed`), `events`
(name, fields).

A fleet whose settings name regions and zones is divided into cells (`layout`): membership and the state of a
cell (`dissemination`) are among the members of the cell; fleet-wide state (`wide_dissemination`) also goes
through the speakers. In a flat fleet both are the same object, among all members.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from crowwing.fleet.membership.cell_reachability import CellReachability, CellStatus
from crowwing.fleet.membership.cells import SPEAKER_COUNT, CellLayout
from crowwing.fleet.membership.swim import Kind, Membership, Message, Timing
from crowwing.fleet.state.catch_up import CatchUp, CatchUpTiming
from crowwing.fleet.state.dissemination import CellScope, Dissemination, DisseminationSettings
from crowwing.fleet.state.reachability_votes import VOTE_LIFETIME, ReachabilityVotes
from crowwing.fleet.state.replica import Keyspace, Replica, Row
from crowwing.fleet.uses.call_budget_loans import CallBudgetLoans
from crowwing.fleet.uses.idempotency_keys import IdempotencyKeys

# First message kinds of the state, of loans and of key claims; lower kinds belong to the membership.
FIRST_STATE_KIND, FIRST_LOAN_KIND, FIRST_KEY_CLAIM_KIND = 10, 20, 30
BOOTSTRAP_PEER_COUNT = 3  # asked whether they are current by a member that starts empty
# Each claim ranks all members by a hash: with more members it would cost more than a request does.
MAX_MEMBERS_WITH_KEY_CLAIMS = 1000


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of one member; times in µs."""

    timing: Timing
    dissemination: DisseminationSettings
    catch_up: CatchUpTiming
    max_clock_drift: int = 10_000_000  # of a timestamp ahead of the own clock
    max_idempotency_keys: int = 2048  # keys that one member stores as a home
    claim_timeout: int = 400_000


class Member:
    def __init__(
        self, me: str, peers: Sequence[str], now: int, rng: random.Random, settings: MemberSettings,
        keyspaces: dict[str, Keyspace], layout: CellLayout | None = None,
    ) -> None:  # fmt: skip
        """`peers`: every other member in the settings."""
        self.me, self.layout = me, layout
        everyone = [me, *peers]
        if layout is not None:
            peers = layout.peers(me)
        self.membership = Membership(me, peers, now, rng, settings.timing)
        self.reachability: CellReachability | None = None
        if layout is None:
            self.replica = Replica(me, keyspaces, settings.max_clock_drift)
            self.dissemination = self.wide_dissemination = Dissemination(
                me, peers, self.replica, now, rng, settings.dissemination
            )
            self.catch_up = CatchUp(len(peers) + 1, now, settings.catch_up)
        else:
            self._in_cells(peers, layout, now, rng, settings, keyspaces)
        self.disseminations = (
            (self.dissemination,)
            if self.wide_dissemination is self.dissemination
            else (self.dissemination, self.wide_dissemination)
        )
        self.loans = CallBudgetLoans(me, peers, now, rng, peers_are_fixed=layout is None)
        self.idempotency_keys: IdempotencyKeys | None = None  # None: too many members to rank for each key
        if len(everyone) <= MAX_MEMBERS_WITH_KEY_CLAIMS:
            self.idempotency_keys = IdempotencyKeys(
                me, everyone, now, rng, settings.max_idempotency_keys, settings.claim_timeout
            )
        self.fetching: set[str] = set()  # emptied by `fetch_completed`
        self.outbox: list[tuple[str, Message]] = []
        self.fetches: list[str] = []
        self.events: list[tuple[str, dict]] = []
        self.was_ready = False

    def _in_cells(
        self, peers: Sequence[str], layout: CellLayout, now: int, rng: random.Random,
        settings: MemberSettings, keyspaces: dict[str, Keyspace],
    ) -> None:  # fmt: skip
        me, cell = self.me, layout.cell_of[self.me]
        quorum_members = layout.quorum_members(cell)
        local = {name: keyspace for name, keyspace in keyspaces.items() if not keyspace.fleet_wide}
        wide = {name: keyspace for name, keyspace in keyspaces.items() if keyspace.fleet_wide}
        self.replica = Replica(me, local, settings.max_clock_drift)
        wide_replica = Replica(me, wide, settings.max_clock_drift, self.replica.clock)
        self.reachability = CellReachability(me, layout, now, rng, settings.timing)
        self.reachability_votes = ReachabilityVotes(me, layout, self.replica, now)
        self.speakers, self.reported_unreachable, self.reported_alive = (), frozenset(), (0, 0)
        in_cell = CellScope(frozenset(quorum_members), frozenset(peers))
        in_fleet = CellScope(in_cell.quorum_members, layout.cell_of, self._contacts_in_other_cells)
        self.dissemination = Dissemination(me, peers, self.replica, now, rng, settings.dissemination, in_cell)
        self.wide_dissemination = Dissemination(
            me, peers, wide_replica, now, rng, settings.dissemination, in_fleet
        )
        # One fetch at a time: the second sends the digests after the first, and gets little.
        catch_up_timing = replace(settings.catch_up, max_concurrent_fetches=1)
        self.catch_up = CatchUp(len(peers) + 1, now, catch_up_timing, len(quorum_members), rng)
        # Speakers last, so that a cell that starts together does not load them besides their other work.
        order = [name for name in quorum_members if name != me]
        rng.shuffle(order)
        self.fetch_order = sorted(order, key=lambda name: name in quorum_members[:SPEAKER_COUNT])
        # An empty member first fetches from the first current member to answer that is no quorum member.
        # Otherwise the quorum members, some of them speakers, would send everything to each member of a cell
        # that starts within seconds.
        others = [name for name in peers if name not in quorum_members]
        self.bootstrap_peers = rng.sample(others, min(BOOTSTRAP_PEER_COUNT, len(others)))
        self.pinged_bootstrap_peers: set[str] = set()  # emptied when the bootstrap ends
        self.bootstrap_source: str | None = None  # the first current one that answered
        self.bootstrap_until = now + settings.timing.probe_timeout if others else now

    def _contacts_in_other_cells(self, cells: int) -> list[str]:
        """Members of that many other cells if this member is a speaker, else none."""
        return self.reachability.contacts_in(cells) if self.reachability.speaks else []

    @property
    def ready(self) -> bool:
        return self.catch_up.ready

    def unreachable_cells(self) -> frozenset[str]:
        """The cells that this member considers unreachable."""
        return (
            frozenset()
            if self.reachability is None
            else self.reachability_votes.unreachable_cells(self.speakers)
        )

    # Replicated state

    def dissemination_of(self, key: str) -> Dissemination:
        """The dissemination that a key's keyspace uses."""
        return (
            self.wide_dissemination
            if key.partition("/")[0] in self.wide_dissemination.replica.keyspaces
            else self.dissemination
        )

    def all_rows(self) -> list[Row]:
        """All entries stored here."""
        return [row for dissemination in self.disseminations for row in dissemination.replica.all_rows()]

    def changes(self) -> int:
        """Number of entries stored so far, for snapshots."""
        return sum(dissemination.replica.changes for dissemination in self.disseminations)

    def merge(self, wall: int, rows: Iterable[Row]) -> list[str]:
        """Merges the rows of a snapshot and returns the changed keys. They do not spread."""
        changed, by_scope = [], self._split_rows(rows)
        for dissemination in self.disseminations:
            changed += dissemination.replica.merge(wall, by_scope[dissemination is self.wide_dissemination])
        return changed

    def _split_rows(self, rows: Iterable[Row]) -> dict[bool, list[Row]]:
        """Splits rows by whether they are fleet-wide. Malformed rows count as not fleet-wide."""
        by_scope: dict[bool, list[Row]] = {False: [], True: []}
        for row in rows:
            key = row[0] if isinstance(row, list) and row and isinstance(row[0], str) else ""
            by_scope[self.dissemination_of(key) is self.wide_dissemination].append(row)
        return by_scope

    def digests(self) -> dict[str, list[int]]:
        """Digests of our replicas for a full-transfer request, so that only differences come."""
        if self.reachability is None:
            return {"leaves": list(self.replica.leaf_digests)}
        local, wide = (dissemination.replica.encoded_digests() for dissemination in self.disseminations)
        return {"leaves": local, "wide": wide}

    def missing_rows(self, requester: str, digests: dict) -> list[Row]:
        """Rows that a member with these digests lacks; a member of another cell gets fleet-wide rows only.
        ValueError, KeyError or TypeError for malformed digests."""
        rows: list[Row] = []
        if self.reachability is None or requester in self.dissemination.peers:
            rows += self.dissemination.missing_rows(digests["leaves"])
        if self.reachability is not None:
            rows += self.wide_dissemination.missing_rows(digests["wide"])
        return rows

    # Messages and time

    def receive(self, now: int, wall: int, message: Message) -> None:
        """KeyError, TypeError, ValueError or AttributeError for a malformed message."""
        if message["k"] >= FIRST_KEY_CLAIM_KIND:
            if self.idempotency_keys is None:
                raise ValueError("no idempotency keys are claimed in a fleet of this size")
            self.idempotency_keys.receive(now, message)
        elif message["k"] >= FIRST_LOAN_KIND:
            self.loans.receive(now, message)
        elif message["k"] >= FIRST_STATE_KIND:
            (self.wide_dissemination if message.get("wide") else self.dissemination).receive(
                now, wall, message
            )
        elif message.get("cell"):
            if self.reachability is None:
                raise ValueError("this fleet has no cells")
            self.reachability.receive(now, message, self._cell_status(wall))
        elif self.layout is not None and message["from"] not in self.membership.members:
            self._answer_other_layout(message)
        else:
            self.membership.receive(now, message)
            for dissemination, rows in self._piggybacked(message):
                dissemination.receive_piggybacked(wall, rows)
            self.catch_up.update_reachable(now, len(self.membership.alive()))
            if message.get("whole"):
                self.catch_up.current_member_seen(now)
                if (
                    self.layout is not None
                    and self.bootstrap_source is None
                    and message["from"] in self.pinged_bootstrap_peers
                ):
                    self.bootstrap_source = message["from"]
        self.tick(now, wall)

    def _piggybacked(self, message: Message) -> list[tuple[Dissemination, list[Row]]]:
        rows = message.get("rows", ())
        if self.reachability is None:
            return [(self.dissemination, rows)]
        by_scope = self._split_rows(rows)
        return [(self.dissemination, by_scope[False]), (self.wide_dissemination, by_scope[True])]

    def _answer_other_layout(self, message: Message) -> None:
        """Answers a member whose copy of the settings puts it into our cell while ours puts it into another.
        Only liveness is exchanged, so that it does not consider us dead until it has the newer settings."""
        if message["from"] not in self.layout.cell_of or message["k"] != Kind.PING:
            raise ValueError(f"{message['from']}: is a member of another cell")
        ack = {"k": int(Kind.ACK), "from": self.me, "inc": self.membership.incarnation, "seq": message["seq"]}
        self.outbox.append((message["from"], ack))

    def tick(self, now: int, wall: int) -> None:
        self.membership.tick(now)
        alive = self.membership.alive()
        if self.reachability is not None:
            self._tick_cells(now, wall, alive)
        for dissemination in self.disseminations:
            dissemination.tick(now, wall, alive)
        if self.idempotency_keys is not None:
            self.idempotency_keys.tick(now)
        self.catch_up.update_reachable(now, len(alive))
        wanted = [
            *self._catch_up_fetches(now, alive),
            *self.dissemination.full_transfer_peers,
            *self.wide_dissemination.full_transfer_peers,
        ]
        for dissemination in self.disseminations:
            dissemination.full_transfer_peers.clear()
        self.fetches += [name for name in dict.fromkeys(wanted) if name not in self.fetching]
        self.fetching.update(wanted)
        self._collect_output()
        for name, state, incarnation in self.membership.changes:
            self.events.append(("member", {"name": name, "state": state, "incarnation": incarnation}))
        self.membership.changes.clear()
        self._report_readiness()

    def _catch_up_fetches(self, now: int, alive: list[str]) -> list[str]:
        if self.layout is None or self.catch_up.started_at is None:
            return self.catch_up.next_fetches(now, alive)
        if self.wide_dissemination.is_empty and (
            self.bootstrap_source is not None or now < self.bootstrap_until
        ):
            for name in self.bootstrap_peers:
                self.membership.ping(name)
            self.pinged_bootstrap_peers |= set(self.bootstrap_peers)
            self.bootstrap_peers.clear()
            first = [] if self.bootstrap_source is None else [self.bootstrap_source]
            # This call also ends the wait at `max_wait`
            return [*first, *self.catch_up.next_fetches(now, [])]
        known = set(alive)
        return self.catch_up.next_fetches(now, [name for name in self.fetch_order if name in known])

    def _collect_output(self) -> None:
        for to, message in self.membership.outbox:
            rows = self.dissemination.piggyback_rows()
            if self.wide_dissemination is not self.dissemination and not rows:
                rows = self.wide_dissemination.piggyback_rows()
            if rows:
                message["rows"] = rows
            if self.catch_up.is_current:
                message["whole"] = 1
            self.outbox.append((to, message))
        self.membership.outbox.clear()
        self.outbox += self.dissemination.outbox
        self.dissemination.outbox.clear()
        if self.reachability is not None:
            self.outbox += [(to, message | {"wide": 1}) for to, message in self.wide_dissemination.outbox]
            self.wide_dissemination.outbox.clear()
        for part in (self.loans, self.idempotency_keys, self.reachability):
            if part is not None:
                self.outbox += part.outbox
                part.outbox.clear()

    # Cells

    def _tick_cells(self, now: int, wall: int, alive: list[str]) -> None:
        """Speaker duties of this member, and its view of other cells."""
        self.speakers = self.layout.speakers(self.reachability.cell, {self.me, *alive})
        speaks = self.me in self.speakers
        self.reachability.tick(now, speaks, self.unreachable_cells(), self._cell_status(wall))
        if speaks:
            for key, value in self.reachability_votes.due_votes(now, self.reachability.unreachable_cells()):
                self.dissemination.put(wall, key, value, VOTE_LIFETIME)
        else:
            self.reachability_votes.publish_at = None  # only speakers publish votes
        if (out := self.unreachable_cells()) != self.reported_unreachable:
            self.reported_unreachable = out
            self.events.append(("cells_out", {"cells": self.layout.compact(out)}))

    def _cell_status(self, wall: int) -> CellStatus | None:
        """Status of our cell that a speaker sends."""
        if not self.reachability.speaks:
            return None
        alive = len(self.membership.alive()) + 1
        if alive != self.reported_alive[0]:
            self.reported_alive = alive, wall // 1000
        of = len(self.membership.members) + 1
        return [alive, of, self.reported_alive[1], f"{self.wide_dissemination.replica.root():016x}"]

    def fetch_completed(self, now: int, wall: int, name: str, rows: list[Row] | None) -> None:
        """A full transfer arrived, or failed (None)."""
        self.fetching.discard(name)
        if rows is not None:
            by_scope, new_entries = self._split_rows(rows), 0
            for dissemination in self.disseminations:
                new_entries += dissemination.receive_full_transfer(
                    wall, by_scope[dissemination is self.wide_dissemination]
                )
            self.events.append(("fetched", {"name": name, "rows": len(rows), "news": new_entries}))
        if self.layout is not None and name == self.bootstrap_source:
            self.bootstrap_source, self.bootstrap_until = None, now
            self.pinged_bootstrap_peers.clear()
        else:
            self.catch_up.fetch_completed(now, name, rows is not None)
        self.tick(now, wall)

    def wake_at(self, now: int) -> int:
        """The next time, on the clock of `now`, at which `tick` has something to do."""
        times = [
            self.membership.wake_at(),
            *(dissemination.wake_at() for dissemination in self.disseminations),
        ]
        parts = [self.catch_up.wake_at(now)]
        if self.idempotency_keys is not None:
            parts.append(self.idempotency_keys.wake_at())
        if self.reachability is not None:
            parts += [self.reachability.wake_at(), self.reachability_votes.wake_at()]
            parts.append(
                self.bootstrap_until
                if self.catch_up.started_at is not None and now < self.bootstrap_until
                else None
            )
        return min([*times, *(at for at in parts if at is not None)])

    def _report_readiness(self) -> None:
        if self.ready == self.was_ready:
            return
        self.was_ready = self.ready
        if self.ready:
            duration, current = self.catch_up.wait_history[-1]
            fields = {
                "took_ms": round(duration / 1000, 1),
                "whole": current,
                "entries": sum(len(dissemination.replica.entries) for dissemination in self.disseminations),
            }
            self.events.append(("caught_up", fields))
        else:
            self.events.append(("catching_up", {}))

    def leave(self, now: int, wall: int) -> None:
        """Drains: announces to the others that this member leaves, so that it is not taken for dead."""
        self.membership.leave()
        self.tick(now, wall)
