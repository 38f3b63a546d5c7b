"""One member of the fleet, whole and pure: membership, the copies it keeps, how they spread, its catching up.

The same file plays on sockets (link.py), in simulated time (world.py) and under the checkers. Two clocks are
handed in, in µs: `now` only goes forward and times what is waited for; `wall` is the system's and goes into
stamps. What is to be done gathers and is emptied by the caller: `outbox` (member, message), `fetches`
(members whose whole copy is wanted; each is answered by `fetched`), `events` (name, what it brings).

A fleet whose settings name regions and zones is in cells (`layout`): membership and the state of a cell
(`spread`) are among the cell's members alone; what is for all (`wide`) goes through the speakers. In a flat
fleet both are the same, among all.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from crowwing.fleet.membership.cell_reachability import Reach, Told
from crowwing.fleet.membership.cells import SPEAKERS, Layout
from crowwing.fleet.membership.swim import Kind, Membership, Message, Timing
from crowwing.fleet.state.catch_up import CatchUp, Patience
from crowwing.fleet.state.dissemination import Pace, Reached, Spread
from crowwing.fleet.state.reachability_votes import LIFE, Verdicts
from crowwing.fleet.state.replica import Copies, Row, Space
from crowwing.fleet.uses.call_budget_loans import Loans
from crowwing.fleet.uses.idempotency_keys import Labels

# Kinds of message from here on are the state's, of loans, of labels; those under all of them the
# membership's.
OF_STATE, OF_LOANS, OF_LABELS = 10, 20, 30
HELPERS = 3  # asked whether they are whole, by a member that starts empty
# Each claim ranks all members by a hash: beyond these many it would cost more than a ticket does.
LABELS_MEMBERS_MOST = 1000


@dataclass(frozen=True, slots=True)
class Manner:
    """How one member behaves; times in µs."""

    timing: Timing
    pace: Pace
    patience: Patience
    drift_most: int = 10_000_000  # how far ahead of ours another's clock may be and be believed
    labels_most: int = 2048  # labels that one member knows as a home
    claim_wait: int = 400_000


class Member:
    def __init__(
        self, me: str, peers: Sequence[str], now: int, chance: random.Random, manner: Manner,
        spaces: dict[str, Space], layout: Layout | None = None,
    ) -> None:  # fmt: skip
        """`peers`: every other member that settings name."""
        self.me, self.layout = me, layout
        everyone = [me, *peers]
        if layout is not None:
            peers = layout.peers(me)
        self.membership = Membership(me, peers, now, chance, manner.timing)
        self.reach: Reach | None = None
        if layout is None:
            self.copies = Copies(me, spaces, manner.drift_most)
            self.spread = self.wide = Spread(me, peers, self.copies, now, chance, manner.pace)
            self.catch_up = CatchUp(len(peers) + 1, now, manner.patience)
        else:
            self._in_cells(peers, layout, now, chance, manner, spaces)
        self.keeping = (self.spread,) if self.wide is self.spread else (self.spread, self.wide)
        self.loans = Loans(me, peers, now, chance, knows_all=layout is None)
        self.labels: Labels | None = None  # too many to rank all of them for each label
        if len(everyone) <= LABELS_MEMBERS_MOST:
            self.labels = Labels(me, everyone, now, chance, manner.labels_most, manner.claim_wait)
        self.fetching: set[str] = set()  # emptied by `fetched`
        self.outbox: list[tuple[str, Message]] = []
        self.fetches: list[str] = []
        self.events: list[tuple[str, dict]] = []
        self.was_ready = False

    def _in_cells(
        self, peers: Sequence[str], layout: Layout, now: int, chance: random.Random, manner: Manner,
        spaces: dict[str, Space],
    ) -> None:  # fmt: skip
        me, cell = self.me, layout.cell_of[self.me]
        keepers = layout.keepers(cell)
        near = {name: space for name, space in spaces.items() if not space.wide}
        wide = {name: space for name, space in spaces.items() if space.wide}
        self.copies = Copies(me, near, manner.drift_most)
        for_all = Copies(me, wide, manner.drift_most, self.copies.clock)
        self.reach = Reach(me, layout, now, chance, manner.timing)
        self.verdicts = Verdicts(me, layout, self.copies, now)
        self.speakers, self.out_told, self.alive_told = (), frozenset(), (0, 0)
        in_cell = Reached(frozenset(keepers), frozenset(peers))
        in_fleet = Reached(in_cell.keepers, layout.cell_of, self._beyond)
        self.spread = Spread(me, peers, self.copies, now, chance, manner.pace, in_cell)
        self.wide = Spread(me, peers, for_all, now, chance, manner.pace, in_fleet)
        patience = replace(manner.patience, at_once=1)  # the second tells what it holds, and gets little
        self.catch_up = CatchUp(len(peers) + 1, now, patience, len(keepers), chance)
        # Guards the first of them, who speak besides, against a cell that starts together.
        order = [name for name in keepers if name != me]
        chance.shuffle(order)
        self.fetch_order = sorted(order, key=lambda name: name in keepers[:SPEAKERS])
        # An empty member reads from one that is whole and answers first, before it asks those whose word
        # counts. Guards the keepers, some of whom speak, against giving the whole to each of a cell that
        # starts within seconds.
        others = [name for name in peers if name not in keepers]
        self.helpers = chance.sample(others, min(HELPERS, len(others)))
        self.asked_help: set[str] = set()  # emptied by the end of the reading
        self.ask_first: str | None = None  # the one that did
        self.help_until = now + manner.timing.probe_timeout if others else now

    def _beyond(self, cells: int) -> list[str]:
        """Members of so many other cells, where this one speaks for its cell."""
        return self.reach.within(cells) if self.reach.speaks else []

    @property
    def ready(self) -> bool:
        return self.catch_up.ready

    def out(self) -> frozenset[str]:
        """The cells that this member holds out of reach."""
        return frozenset() if self.reach is None else self.verdicts.out(self.speakers)

    # What is kept

    def spread_of(self, key: str) -> Spread:
        """Through which a key's space spreads."""
        return self.wide if key.partition("/")[0] in self.wide.copies.spaces else self.spread

    def every(self) -> list[Row]:
        """All that is kept here."""
        return [row for kept in self.keeping for row in kept.copies.every()]

    def changes(self) -> int:
        """Counts what was taken, for whoever writes it down."""
        return sum(kept.copies.changes for kept in self.keeping)

    def merge(self, wall: int, rows: Iterable[Row]) -> list[str]:
        """Takes what a disk held; the keys whose entry changed. What was read does not spread."""
        changed, apart = [], self._apart(rows)
        for kept in self.keeping:
            changed += kept.copies.merge(wall, apart[kept is self.wide])
        return changed

    def _apart(self, rows: Iterable[Row]) -> dict[bool, list[Row]]:
        """By whether they are for all. What is no row goes with the others, to be counted there."""
        apart: dict[bool, list[Row]] = {False: [], True: []}
        for row in rows:
            key = row[0] if isinstance(row, list) and row and isinstance(row[0], str) else ""
            apart[self.spread_of(key) is self.wide].append(row)
        return apart

    def digests(self) -> dict[str, list[int]]:
        """What a fetch tells of our copies, so that only what differs comes."""
        if self.reach is None:
            return {"leaves": list(self.copies.leaves)}
        near, wide = (kept.copies.packed() for kept in self.keeping)
        return {"leaves": near, "wide": wide}

    def missing(self, asker: str, told: dict) -> list[Row]:
        """What a member lacks of ours that told its digests; one of another cell gets what is for all.
        ValueError, KeyError or TypeError for what are none."""
        rows: list[Row] = []
        if self.reach is None or asker in self.spread.peers:
            rows += self.spread.missing(told["leaves"])
        if self.reach is not None:
            rows += self.wide.missing(told["wide"])
        return rows

    # Messages and time

    def heard(self, now: int, wall: int, message: Message) -> None:
        """KeyError, TypeError, ValueError or AttributeError for what is no message of ours."""
        if message["k"] >= OF_LABELS:
            if self.labels is None:
                raise ValueError("labels are not claimed in a fleet of this size")
            self.labels.heard(now, message)
        elif message["k"] >= OF_LOANS:
            self.loans.heard(now, message)
        elif message["k"] >= OF_STATE:
            (self.wide if message.get("wide") else self.spread).heard(now, wall, message)
        elif message.get("cell"):
            if self.reach is None:
                raise ValueError("this fleet is in no cells")
            self.reach.heard(now, message, self._row(wall))
        elif self.layout is not None and message["from"] not in self.membership.members:
            self._neighbour(message)
        else:
            self.membership.heard(now, message)
            for kept, rows in self._ridden(message):
                kept.rode(wall, rows)
            self.catch_up.reaches(now, len(self.membership.alive()))
            if message.get("whole"):
                self.catch_up.heard_whole(now)
                if self.layout is not None and self.ask_first is None and message["from"] in self.asked_help:
                    self.ask_first = message["from"]
        self.turn(now, wall)

    def _ridden(self, message: Message) -> list[tuple[Spread, list[Row]]]:
        rows = message.get("rows", ())
        if self.reach is None:
            return [(self.spread, rows)]
        apart = self._apart(rows)
        return [(self.spread, apart[False]), (self.wide, apart[True])]

    def _neighbour(self, message: Message) -> None:
        """One whose copy of the settings puts it into our cell, and ours into another: that it is alive is
        all that we tell each other. Guards it against holding us dead until it has the newer settings."""
        if message["from"] not in self.layout.cell_of or message["k"] != Kind.PING:
            raise ValueError(f"{message['from']}: is of another cell")
        told = {
            "k": int(Kind.ACK),
            "from": self.me,
            "inc": self.membership.incarnation,
            "seq": message["seq"],
        }
        self.outbox.append((message["from"], told))

    def turn(self, now: int, wall: int) -> None:
        self.membership.turn(now)
        alive = self.membership.alive()
        if self.reach is not None:
            self._speak(now, wall, alive)
        for kept in self.keeping:
            kept.turn(now, wall, alive)
        if self.labels is not None:
            self.labels.turn(now)
        self.catch_up.reaches(now, len(alive))
        wanted = [*self._to_catch_up(now, alive), *self.spread.far, *self.wide.far]
        for kept in self.keeping:
            kept.far.clear()
        self.fetches += [name for name in dict.fromkeys(wanted) if name not in self.fetching]
        self.fetching.update(wanted)
        self._carry()
        for name, state, incarnation in self.membership.changes:
            self.events.append(("member", {"name": name, "state": state, "incarnation": incarnation}))
        self.membership.changes.clear()
        self._tell_ready()

    def _to_catch_up(self, now: int, alive: list[str]) -> list[str]:
        if self.layout is None or self.catch_up.began is None:
            return self.catch_up.fetch(now, alive)
        if self.wide.is_empty and (self.ask_first is not None or now < self.help_until):
            for name in self.helpers:
                self.membership.ping(name)
            self.asked_help |= set(self.helpers)
            self.helpers.clear()
            first = [] if self.ask_first is None else [self.ask_first]
            return [*first, *self.catch_up.fetch(now, [])]  # which also ends the waiting
        known = set(alive)
        return self.catch_up.fetch(now, [name for name in self.fetch_order if name in known])

    def _carry(self) -> None:
        for to, message in self.membership.outbox:
            rows = self.spread.ride()
            if self.wide is not self.spread and not rows:
                rows = self.wide.ride()
            if rows:
                message["rows"] = rows
            if self.catch_up.whole:
                message["whole"] = 1
            self.outbox.append((to, message))
        self.membership.outbox.clear()
        self.outbox += self.spread.outbox
        self.spread.outbox.clear()
        if self.reach is not None:
            self.outbox += [(to, message | {"wide": 1}) for to, message in self.wide.outbox]
            self.wide.outbox.clear()
        for part in (self.loans, self.labels, self.reach):
            if part is not None:
                self.outbox += part.outbox
                part.outbox.clear()

    # Cells

    def _speak(self, now: int, wall: int, alive: list[str]) -> None:
        """What this member does for its cell, and what it believes of others."""
        self.speakers = self.layout.speakers(self.reach.cell, {self.me, *alive})
        speaks = self.me in self.speakers
        self.reach.turn(now, speaks, self.out(), self._row(wall))
        if speaks:
            for key, value in self.verdicts.tell(now, self.reach.out()):
                self.spread.put(wall, key, value, LIFE)
        else:
            self.verdicts.tell_at = None  # what was to be told is the speakers' to tell
        if (out := self.out()) != self.out_told:
            self.out_told = out
            self.events.append(("cells_out", {"cells": self.layout.short(out)}))

    def _row(self, wall: int) -> Told | None:
        """What a speaker says of its cell."""
        if not self.reach.speaks:
            return None
        alive = len(self.membership.alive()) + 1
        if alive != self.alive_told[0]:
            self.alive_told = alive, wall // 1000
        of = len(self.membership.members) + 1
        return [alive, of, self.alive_told[1], f"{self.wide.copies.root():016x}"]

    def fetched(self, now: int, wall: int, name: str, rows: list[Row] | None) -> None:
        """A whole copy came, or did not (None)."""
        self.fetching.discard(name)
        if rows is not None:
            apart, news = self._apart(rows), 0
            for kept in self.keeping:
                news += kept.took(wall, apart[kept is self.wide])
            self.events.append(("fetched", {"name": name, "rows": len(rows), "news": news}))
        if self.layout is not None and name == self.ask_first:
            self.ask_first, self.help_until = None, now
            self.asked_help.clear()
        else:
            self.catch_up.fetched(now, name, rows is not None)
        self.turn(now, wall)

    def wake_at(self, now: int) -> int:
        """The next moment, on `now`'s clock, at which `turn` has something to do."""
        moments = [self.membership.wake_at(), *(kept.wake_at() for kept in self.keeping)]
        parts = [self.catch_up.wake_at(now)]
        if self.labels is not None:
            parts.append(self.labels.wake_at())
        if self.reach is not None:
            parts += [self.reach.wake_at(), self.verdicts.wake_at()]
            parts.append(
                self.help_until if self.catch_up.began is not None and now < self.help_until else None
            )
        return min([*moments, *(at for at in parts if at is not None)])

    def _tell_ready(self) -> None:
        if self.ready == self.was_ready:
            return
        self.was_ready = self.ready
        if self.ready:
            took, whole = self.catch_up.took[-1]
            brings = {
                "took_ms": round(took / 1000, 1),
                "whole": whole,
                "entries": sum(len(kept.copies.entries) for kept in self.keeping),
            }
            self.events.append(("caught_up", brings))
        else:
            self.events.append(("catching_up", {}))

    def leave(self, now: int, wall: int) -> None:
        """The notice to drain: the others hear that it leaves, and that it did not die."""
        self.membership.leave()
        self.turn(now, wall)
