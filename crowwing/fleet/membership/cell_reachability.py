"""Which other cells are in reach, as the speakers of one cell see it. Pure.

SWIM once more, its members being cells (swim.py; the idea of a second tier: Consul's WAN pool, Serf). A cell
is whoever of its members is asked: each of them answers for it and refutes its death, so a cell is out of
reach only if nobody of it answers, and a killed speaker is one probe lost. Only speakers probe. A cell's
incarnation is the highest that any of its members has told; two that raise it alike, or a speaker that has
none yet, do no harm.

Changed against swim.py's use among members: a death heard of is only a suspicion (one deaf speaker would else
bury every cell for all), a probe that goes unanswered is sent once more to another of the cell, and whoever
refutes its death to one that answered it says so at once, so that after a cut both sides know each other by
three messages. One cell that comes back is a sign for others: a speaker that hears it asks all that it
suspects or holds out of reach, once in `SWEEP_EVERY`. And one that goes silent is a sign for its neighbours:
while a cell is suspected a speaker asks the others of its zone, and of its region once a whole zone is
silent, a few a period beside its probe. Guards against a lost zone or region that each speaker finds cell by
cell, one a period.

Which members speak for another cell is learned by hearing from them; until then, and after silence, those of
the roster in turn. Every table here holds at most one entry a cell, or one a probe carried for others, which
ends by itself.
"""

import random
from collections import Counter
from dataclasses import replace

from crowwing.fleet.membership.cells import SPEAKERS, Layout, covers
from crowwing.fleet.membership.swim import ALIVE, DEAD, GONE, SUSPECT, Kind, Membership, Message, Timing

SWEEP_EVERY = 2_000_000  # µs
CONTACTS = 3  # of one cell
DOUBTED = 4  # cells asked in a period beside the probe, while some are suspected
UNHEARD = 10  # periods without a word from it, after which a neighbour of silent cells is asked
ASKED_TWICE = 2  # who answers neither time is suspected

Told = (
    list  # of a cell by its speakers: [alive, of how many, since when (Unix ms), digest of what is for all]
)


def among_cells(timing: Timing) -> Timing:
    """The pace among cells: as among members, but those held dead are probed sooner and only directly. One
    other cell is asked to probe for us, since a second member of the cell is asked besides. No local health:
    where most cells are cut off, probes that go unanswered say nothing of the speaker, and one that is slow
    is outvoted; for the same reason a suspicion that few confirm stands twice the shortest at most. News is
    told less often: three speak for each cell, and after a cut each asks for itself.
    """
    return replace(
        timing, indirect=min(1, timing.indirect), suspect_most_times=min(2.0, timing.suspect_most_times),
        health_most=0, retransmit=timing.retransmit / 3, revive_every=max(2, timing.revive_every // 4),
        revive_indirect=False, hearsay=False,
    )  # fmt: skip


class Reach:
    """One member's part; `turn` at `wake_at` or sooner, with whether it speaks now."""

    def __init__(self, me: str, layout: Layout, now: int, chance: random.Random, timing: Timing) -> None:
        self.me, self.layout, self.chance = me, layout, chance
        self.cell = layout.cell_of[me]
        others = [cell for cell in layout.rosters if cell != self.cell]
        self.swim = Membership(self.cell, others, now, chance, among_cells(timing))
        # Guards against taking another speaker's answer for one of ours: both speak for the same cell.
        self.swim.seq = chance.randrange(1 << 30)
        self.speaks = False
        self.contacts: dict[str, list[str]] = {}  # who of late spoke for a cell, `CONTACTS` at most
        self.sweep_at = now
        self.silent: Counter[str] = Counter()  # how many of its roster in turn did not answer
        # Whom of a roster to ask where nothing is known: one that speaks, since others pass no news on.
        # Guards its first one against being asked by all.
        self.first = chance.randrange(SPEAKERS)
        self.askers: dict[tuple[str, int], str] = {}  # of probes carried for others; emptied by ack or nack
        self.told: dict[str, Told] = {}  # what each cell says of itself
        self.heard_at = dict.fromkeys(others, now - UNHEARD * timing.period)
        self.asked: dict[str, int] = {}  # in doubt -> how often asked; emptied by an answer, or by suspicion
        self.zones = {cell: layout.zone_of(cell) for cell in others}
        self.outbox: list[tuple[str, Message]] = []

    def out(self) -> frozenset[str]:
        """The cells out of reach, as this member sees it while it speaks."""
        return frozenset(cell for cell, seen in self.swim.members.items() if seen.state in GONE)

    def within(self, count: int) -> list[str]:
        """Members of so many other cells in reach, drawn by chance: one that speaks for each."""
        cells = self.swim.alive()
        return [self._contact(cell) for cell in self.chance.sample(cells, min(count, len(cells)))]

    def wake_at(self) -> int | None:
        if self.speaks:
            return self.swim.wake_at()
        return min((until for _, _, until in self.swim.relayed.values()), default=None)

    # Time

    def turn(self, now: int, speaks: bool, out: frozenset[str], row: Told | None = None) -> None:
        """`out`: what this cell's speakers have said so far, which one that begins to speak starts from;
        `row`: what to say of our cell."""
        if speaks and not self.speaks:
            self._begin(now, out)
        elif self.speaks and not speaks:
            self.swim.probe = None
        self.speaks = speaks
        if speaks:
            probe, periods = self.swim.probe, self.swim.periods
            direct = probe is not None and probe.helpers is None
            self.swim.turn(now)
            if self.swim.periods > periods:
                self._doubt(now)
            if probe is not None and self.swim.probe is not probe:
                self._unanswered(probe.target)
            elif direct and probe.helpers is not None:
                self._unanswered(probe.target)
                if self.swim.members[probe.target].state not in GONE:
                    self.swim.ping(probe.target, probe.seq)  # to another of that cell
        else:
            self.swim.end_relays(now)
        self._carry(row)

    def _begin(self, now: int, out: frozenset[str]) -> None:
        """What was believed while others spoke was heard in passing: not what the cells now are."""
        swim = self.swim
        for cell, seen in swim.members.items():
            seen.state, seen.since = (DEAD if cell in out else ALIVE), now
            seen.origins.clear()
        swim.probe, swim.looked = None, now
        swim.period_at = now - self.chance.randrange(swim.timing.period)  # speakers do not probe in step
        swim.rumours.clear()
        swim.round.clear()
        self.asked.clear()

    def _doubt(self, now: int) -> None:
        """Once a period: who was asked in doubt and did not answer is asked again, or suspected."""
        members, again = self.swim.members, []
        for cell, times in list(self.asked.items()):
            self._unanswered(cell)
            if members[cell].state == ALIVE and times < ASKED_TWICE:
                again.append(cell)
                continue
            del self.asked[cell]
            if members[cell].state == ALIVE:
                self.swim.suspect(cell, now)
        for cell in [*again, *self._in_doubt(now, DOUBTED - len(again))]:
            self.asked[cell] = self.asked.get(cell, 0) + 1
            self.swim.ask(cell)

    def _in_doubt(self, now: int, count: int) -> list[str]:
        """Neighbours of silent cells that have not been heard from of late."""
        members = self.swim.members
        suspected = {self.zones[cell] for cell, seen in members.items() if seen.state == SUSPECT}
        if not suspected or count <= 0:
            return []
        answer = {self.zones[cell] for cell, seen in members.items() if seen.state == ALIVE}
        silent = {zone.partition("/")[0] for zone in suspected - answer}
        since = now - UNHEARD * self.swim.timing.period
        able = [
            cell
            for cell, seen in members.items()
            if seen.state == ALIVE and cell not in self.asked and self.heard_at[cell] <= since
            and (self.zones[cell] in suspected or cell.partition("/")[0] in silent)
        ]  # fmt: skip
        return self.chance.sample(able, min(count, len(able)))

    def _contact(self, cell: str) -> str:
        roster = self.layout.rosters[cell]
        if known := self.contacts.get(cell):
            return self.chance.choice(known)
        return roster[(self.first + self.silent[cell]) % len(roster)]

    def _unanswered(self, cell: str) -> None:
        """Whoever was asked: it is not known which of the contacts it was, nor whether the others answer."""
        self.contacts.pop(cell, None)
        self.silent[cell] += 1

    def _sweep(self, now: int) -> None:
        if self.speaks and now >= self.sweep_at:
            self.sweep_at = now + SWEEP_EVERY
            for cell, seen in self.swim.members.items():
                if seen.state != ALIVE:
                    self.swim.ping(cell)

    # Messages

    def heard(self, now: int, message: Message, row: Told | None = None) -> None:
        """KeyError, TypeError or ValueError for what is no message of another cell; it changes nothing."""
        sender = message["from"]
        cell, kind = self.layout.cell_of[sender], Kind(message["k"])
        news = [[self._meant(name), *rest] for name, *rest in message.get("news", ())]
        if cell == self.cell:
            self._neighbour(sender, kind, message["seq"], news)
            return
        row_told = message.get("row")
        if row_told is not None:
            alive, of, since, digest = row_told
            row_told = [int(alive), int(of), int(since), str(digest)[:16]]
        before, seen = self.swim.incarnation, self.swim.members[cell]
        gone = seen.state in GONE
        self.swim.heard(now, message | {"from": cell, "news": news})
        contacts = self.contacts.setdefault(cell, [])
        if sender not in contacts:
            contacts.append(sender)
            del contacts[:-CONTACTS]
        self.silent.pop(cell, None)
        self.asked.pop(cell, None)
        self.heard_at[cell] = now
        if gone and seen.state not in GONE:
            self._sweep(now)
        if row_told is not None:
            self.told[cell] = row_told
        if kind == Kind.PING_REQ:
            self.askers[(cell, message["seq"])] = sender
        elif kind == Kind.ACK and self.swim.incarnation > before:
            self.swim.ping(cell)
        self._carry(row, sender)

    def _neighbour(self, sender: str, kind: Kind, seq: int, news: list[list]) -> None:
        """One of our own cell whose copy of the settings has us in another: we answer its probes for the cell
        that it takes us for. Guards that one, perhaps of us alone, against passing for gone in our own."""
        if kind != Kind.PING or sender == self.me:
            raise ValueError(f"{sender}: is of our own cell")
        for name, state, incarnation, _ in news:
            if name == self.cell and state != ALIVE and incarnation >= self.swim.incarnation:
                self.swim.incarnation = int(incarnation) + 1
        told = {"k": int(Kind.ACK), "from": self.me, "inc": self.swim.incarnation, "seq": seq, "cell": 1}
        self.outbox.append((sender, told))

    def _meant(self, cell: object) -> object:
        """Our own cell where a copy of the settings one change older or newer has another name for it, or
        for a part of it. Guards against a cell whose members all have the one copy, and which nobody with
        the other could bring back: it would not know its death for its own, and not refute it."""
        other = isinstance(cell, str) and cell not in self.swim.members
        return self.cell if other and (covers(cell, self.cell) or covers(self.cell, cell)) else cell

    def _carry(self, row: Told | None, sender: str | None = None) -> None:
        """From cells to members: an answer to who asked, the rest to who speaks for the cell."""
        for cell, message in self.swim.outbox:
            to = None
            if message["k"] in (Kind.ACK, Kind.NACK):
                to = self.askers.pop((cell, message["seq"]), None)
            if to is None and sender is not None and self.layout.cell_of[sender] == cell:
                to = sender
            told = message | {"from": self.me, "cell": 1}
            if row is not None and cell not in self.asked:
                told["row"] = row
            self.outbox.append((to or self._contact(cell), told))
        self.swim.outbox.clear()
        self.swim.changes.clear()
        if not self.speaks:  # rumours are the speakers' work; but a refutation is anyone's
            own = self.swim.rumours.get(self.cell)
            self.swim.rumours = {} if own is None else {self.cell: own}
