"""One member of the fleet, whole and pure: membership, the copy it keeps, how that spreads, its catching up.

The same file plays on sockets (link.py), in simulated time (world.py) and under the checkers. Two clocks are
handed in, in µs: `now` only goes forward and times what is waited for; `wall` is the system's and goes into
stamps. What is to be done gathers and is emptied by the caller: `outbox` (member, message), `fetches`
(members whose whole copy is wanted; each is answered by `fetched`), `events` (name, what it brings).
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from crowwing.fleet.membership.swim import Membership, Message, Timing
from crowwing.fleet.state.catchup import CatchUp, Patience
from crowwing.fleet.state.copies import Copies, Row, Space
from crowwing.fleet.state.spread import Pace, Spread
from crowwing.fleet.uses.labels import Labels
from crowwing.fleet.uses.loans import Loans

# Kinds of message from here on are the state's, of loans, of labels; those under all of them the
# membership's.
OF_STATE, OF_LOANS, OF_LABELS = 10, 20, 30


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
        spaces: dict[str, Space],
    ) -> None:  # fmt: skip
        self.me = me
        self.membership = Membership(me, peers, now, chance, manner.timing)
        self.copies = Copies(me, spaces, manner.drift_most)
        self.spread = Spread(me, peers, self.copies, now, chance, manner.pace)
        self.catch_up = CatchUp(len(peers) + 1, now, manner.patience)
        self.loans = Loans(me, peers, now, chance)
        self.labels = Labels(me, [me, *peers], now, chance, manner.labels_most, manner.claim_wait)
        self.fetching: set[str] = set()  # emptied by `fetched`
        self.outbox: list[tuple[str, Message]] = []
        self.fetches: list[str] = []
        self.events: list[tuple[str, dict]] = []
        self.was_ready = False

    @property
    def ready(self) -> bool:
        return self.catch_up.ready

    def heard(self, now: int, wall: int, message: Message) -> None:
        """KeyError, TypeError, ValueError or AttributeError for what is no message of ours."""
        if message["k"] >= OF_LABELS:
            self.labels.heard(now, message)
        elif message["k"] >= OF_LOANS:
            self.loans.heard(now, message)
        elif message["k"] >= OF_STATE:
            self.spread.heard(now, wall, message)
        else:
            self.membership.heard(now, message)
            self.spread.rode(wall, message.get("rows", ()))
            self.catch_up.reaches(now, len(self.membership.alive()))
            if message.get("whole"):
                self.catch_up.heard_whole(now)
        self.turn(now, wall)

    def turn(self, now: int, wall: int) -> None:
        self.membership.turn(now)
        alive = self.membership.alive()
        self.spread.turn(now, wall, alive)
        self.labels.turn(now)
        self.catch_up.reaches(now, len(alive))
        wanted = [*self.catch_up.fetch(now, alive), *self.spread.far]
        self.spread.far.clear()
        self.fetches += [name for name in dict.fromkeys(wanted) if name not in self.fetching]
        self.fetching.update(wanted)
        for to, message in self.membership.outbox:
            if rows := self.spread.ride():
                message["rows"] = rows
            if self.catch_up.whole:
                message["whole"] = 1
            self.outbox.append((to, message))
        self.membership.outbox.clear()
        for part in (self.spread, self.loans, self.labels):
            self.outbox += part.outbox
            part.outbox.clear()
        for name, state, incarnation in self.membership.changes:
            self.events.append(("member", {"name": name, "state": state, "incarnation": incarnation}))
        self.membership.changes.clear()
        self._tell_ready()

    def fetched(self, now: int, wall: int, name: str, rows: list[Row] | None) -> None:
        """A whole copy came, or did not (None)."""
        self.fetching.discard(name)
        if rows is not None:
            news = self.spread.took(wall, rows)
            self.events.append(("fetched", {"name": name, "rows": len(rows), "news": news}))
        self.catch_up.fetched(now, name, rows is not None)
        self.turn(now, wall)

    def wake_at(self, now: int) -> int:
        """The next moment, on `now`'s clock, at which `turn` has something to do."""
        moments = [self.membership.wake_at(), self.spread.wake_at()]
        moments += [at for at in (self.catch_up.wake_at(now), self.labels.wake_at()) if at is not None]
        return min(moments)

    def _tell_ready(self) -> None:
        if self.ready == self.was_ready:
            return
        self.was_ready = self.ready
        if self.ready:
            took, whole = self.catch_up.took[-1]
            brings = {"took_ms": round(took / 1000, 1), "whole": whole, "entries": len(self.copies.entries)}
            self.events.append(("caught_up", brings))
        else:
            self.events.append(("catching_up", {}))

    def leave(self, now: int, wall: int) -> None:
        """The notice to drain: the others hear that it leaves, and that it did not die."""
        self.membership.leave()
        self.turn(now, wall)
