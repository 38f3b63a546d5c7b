"""Failure detector for cells, run by the speakers of one cell. Pure.

It is SWIM with cells as members (swim.py; a second tier as in Consul's WAN pool, Serf). Any member of a cell
answers for the cell and refutes its death, so a cell is unreachable only if none of its members answers, and
a killed speaker costs one probe. Only speakers probe. A cell's incarnation is the highest that any of its
members has sent; two members that raise it alike, or a speaker that does not know it yet, do no harm.

Differences from swim.py among members: a reported death is only a suspicion (one deaf speaker would otherwise
declare every cell dead for all), an unanswered probe is sent once more to another member of the cell, and a
cell that learns of its own death from an ack refutes it to that cell at once, so that after a partition both
sides recognise each other within three messages. A cell that comes back is a sign for others: the speaker
pings all cells that it suspects or considers unreachable, once per `SWEEP_EVERY`. A cell that goes silent is
a sign for its neighbours: while it is suspected a speaker pings the other cells of its zone, and of its
region once a whole zone is silent, a few per period besides its probe. Otherwise each speaker would find a
lost zone or region cell by cell, one per period.

The speakers of another cell are learned from their messages; before that, and after time-outs, members of its
roster are tried in turn. Every table holds at most one entry per cell, or one per relayed probe, which
expires.
"""

import random
from collections import Counter
from dataclasses import replace

from crowwing.fleet.membership.cells import SPEAKER_COUNT, CellLayout, covers
from crowwing.fleet.membership.swim import ALIVE, DEAD, GONE, SUSPECT, Kind, Membership, Message, Timing

SWEEP_EVERY = 2_000_000  # µs
MAX_CONTACTS = 3  # per cell
DOUBT_PINGS_PER_PERIOD = 4  # besides the probe, while some cell is suspected
SILENT_PERIODS = 10  # without a message, after which a neighbour of silent cells is pinged
MAX_DOUBT_PINGS = 2  # a cell that answers none is suspected

# Status of a cell from its speakers: [alive, members, since (Unix ms), root digest of fleet-wide state].
CellStatus = list


def timing_among_cells(timing: Timing) -> Timing:
    """Timing among cells: as among members, but unreachable cells are probed more often and only directly.
    One other cell probes for us, since a second member of the target cell is probed too. There is no local
    health: where most cells are partitioned away, unanswered probes say nothing about the speaker, and a slow
    speaker is outvoted; for the same reason a suspicion with few confirmations lasts at most twice the
    shortest. Updates are sent fewer times: each cell has three speakers, and after a partition each probes
    for itself.
    """
    return replace(
        timing, indirect=min(1, timing.indirect), suspect_most_times=min(2.0, timing.suspect_most_times),
        max_health=0, retransmit=timing.retransmit / 3, revive_every=max(2, timing.revive_every // 4),
        revive_indirect=False, trust_reported_deaths=False,
    )  # fmt: skip


class CellReachability:
    """One member's part; call `tick` at `wake_at` or sooner, with whether it is a speaker now."""

    def __init__(self, me: str, layout: CellLayout, now: int, rng: random.Random, timing: Timing) -> None:
        self.me, self.layout, self.rng = me, layout, rng
        self.cell = layout.cell_of[me]
        others = [cell for cell in layout.rosters if cell != self.cell]
        self.swim = Membership(self.cell, others, now, rng, timing_among_cells(timing))
        # So that an answer to another speaker of this cell is not taken for one to us.
        self.swim.seq = rng.randrange(1 << 30)
        self.speaks = False
        self.contacts: dict[str, list[str]] = {}  # recent speakers of a cell, at most `MAX_CONTACTS`
        self.sweep_at = now
        self.unanswered_counts: Counter[str] = Counter()  # members of its roster tried without an answer
        # Where no contact is known, start at one of the speakers, since others do not spread updates. A
        # random one, so that not all ask the first.
        self.first_contact = rng.randrange(SPEAKER_COUNT)
        self.relay_requesters: dict[tuple[str, int], str] = {}  # of relayed probes; removed by ack or nack
        self.cell_status: dict[str, CellStatus] = {}  # last status received from each cell
        self.last_heard = dict.fromkeys(others, now - SILENT_PERIODS * timing.period)
        self.doubt_pings: dict[str, int] = {}  # doubted cell -> pings; removed by an answer or a suspicion
        self.zones = {cell: layout.zone_of(cell) for cell in others}
        self.outbox: list[tuple[str, Message]] = []

    def unreachable_cells(self) -> frozenset[str]:
        """The cells that this member cannot reach; meaningful while it is a speaker."""
        return frozenset(cell for cell, seen in self.swim.members.items() if seen.state in GONE)

    def contacts_in(self, count: int) -> list[str]:
        """One contact each of that many random reachable cells."""
        cells = self.swim.alive()
        return [self._contact(cell) for cell in self.rng.sample(cells, min(count, len(cells)))]

    def wake_at(self) -> int | None:
        if self.speaks:
            return self.swim.wake_at()
        return min((until for _, _, until in self.swim.relayed_probes.values()), default=None)

    # Time

    def tick(self, now: int, speaks: bool, out: frozenset[str], row: CellStatus | None = None) -> None:
        """`out`: unreachable cells by the votes of this cell's speakers, the start state of a new speaker;
        `row`: status of our cell to send."""
        if speaks and not self.speaks:
            self._start_speaking(now, out)
        elif self.speaks and not speaks:
            self.swim.probe = None
        self.speaks = speaks
        if speaks:
            probe, periods = self.swim.probe, self.swim.periods
            direct = probe is not None and probe.helpers is None
            self.swim.tick(now)
            if self.swim.periods > periods:
                self._ping_doubted(now)
            if probe is not None and self.swim.probe is not probe:
                self._on_unanswered(probe.target)
            elif direct and probe.helpers is not None:
                self._on_unanswered(probe.target)
                if self.swim.members[probe.target].state not in GONE:
                    self.swim.ping(probe.target, probe.seq)  # to another member of that cell
        else:
            self.swim.expire_relays(now)
        self._flush(row)

    def _start_speaking(self, now: int, out: frozenset[str]) -> None:
        """Resets states, since those seen as a non-speaker are incidental and out of date."""
        swim = self.swim
        for cell, seen in swim.members.items():
            seen.state, seen.since = (DEAD if cell in out else ALIVE), now
            seen.origins.clear()
        swim.probe, swim.last_tick = None, now
        # So that speakers do not probe in step
        swim.period_at = now - self.rng.randrange(swim.timing.period)
        swim.rumours.clear()
        swim.probe_order.clear()
        self.doubt_pings.clear()

    def _ping_doubted(self, now: int) -> None:
        """Once per period: a doubted cell that did not answer is pinged again, or suspected."""
        members, again = self.swim.members, []
        for cell, times in list(self.doubt_pings.items()):
            self._on_unanswered(cell)
            if members[cell].state == ALIVE and times < MAX_DOUBT_PINGS:
                again.append(cell)
                continue
            del self.doubt_pings[cell]
            if members[cell].state == ALIVE:
                self.swim.suspect(cell, now)
        for cell in [*again, *self._doubted_cells(now, DOUBT_PINGS_PER_PERIOD - len(again))]:
            self.doubt_pings[cell] = self.doubt_pings.get(cell, 0) + 1
            self.swim.ping_without_updates(cell)

    def _doubted_cells(self, now: int, count: int) -> list[str]:
        """Neighbours of silent cells without a recent message."""
        members = self.swim.members
        suspected = {self.zones[cell] for cell, seen in members.items() if seen.state == SUSPECT}
        if not suspected or count <= 0:
            return []
        answer = {self.zones[cell] for cell, seen in members.items() if seen.state == ALIVE}
        silent = {zone.partition("/")[0] for zone in suspected - answer}
        since = now - SILENT_PERIODS * self.swim.timing.period
        able = [
            cell
            for cell, seen in members.items()
            if seen.state == ALIVE and cell not in self.doubt_pings and self.last_heard[cell] <= since
            and (self.zones[cell] in suspected or cell.partition("/")[0] in silent)
        ]  # fmt: skip
        return self.rng.sample(able, min(count, len(able)))

    def _contact(self, cell: str) -> str:
        roster = self.layout.rosters[cell]
        if known := self.contacts.get(cell):
            return self.rng.choice(known)
        return roster[(self.first_contact + self.unanswered_counts[cell]) % len(roster)]

    def _on_unanswered(self, cell: str) -> None:
        """Drops all contacts: it is unknown which one was asked, and whether the others answer."""
        self.contacts.pop(cell, None)
        self.unanswered_counts[cell] += 1

    def _sweep(self, now: int) -> None:
        if self.speaks and now >= self.sweep_at:
            self.sweep_at = now + SWEEP_EVERY
            for cell, seen in self.swim.members.items():
                if seen.state != ALIVE:
                    self.swim.ping(cell)

    # Messages

    def receive(self, now: int, message: Message, row: CellStatus | None = None) -> None:
        """KeyError, TypeError or ValueError, without effect, for anything but a message of another cell."""
        sender = message["from"]
        cell, kind = self.layout.cell_of[sender], Kind(message["k"])
        updates = [[self._canonical_cell(name), *rest] for name, *rest in message.get("news", ())]
        if cell == self.cell:
            self._answer_same_cell(sender, kind, message["seq"], updates)
            return
        row_heard = message.get("row")
        if row_heard is not None:
            alive, of, since, digest = row_heard
            row_heard = [int(alive), int(of), int(since), str(digest)[:16]]
        before, seen = self.swim.incarnation, self.swim.members[cell]
        gone = seen.state in GONE
        self.swim.receive(now, message | {"from": cell, "news": updates})
        contacts = self.contacts.setdefault(cell, [])
        if sender not in contacts:
            contacts.append(sender)
            del contacts[:-MAX_CONTACTS]
        self.unanswered_counts.pop(cell, None)
        self.doubt_pings.pop(cell, None)
        self.last_heard[cell] = now
        if gone and seen.state not in GONE:
            self._sweep(now)
        if row_heard is not None:
            self.cell_status[cell] = row_heard
        if kind == Kind.PING_REQ:
            self.relay_requesters[(cell, message["seq"])] = sender
        elif kind == Kind.ACK and self.swim.incarnation > before:
            self.swim.ping(cell)
        self._flush(row, sender)

    def _answer_same_cell(self, sender: str, kind: Kind, seq: int, updates: list[list]) -> None:
        """Answers probes of a member of our cell whose copy of the settings has us in another cell, for which
        we answer. Otherwise that cell, which may consist of us alone, would be considered dead in our own."""
        if kind != Kind.PING or sender == self.me:
            raise ValueError(f"{sender}: is a member of our own cell")
        for name, state, incarnation, _ in updates:
            if name == self.cell and state != ALIVE and incarnation >= self.swim.incarnation:
                self.swim.incarnation = int(incarnation) + 1
        ack = {"k": int(Kind.ACK), "from": self.me, "inc": self.swim.incarnation, "seq": seq, "cell": 1}
        self.outbox.append((sender, ack))

    def _canonical_cell(self, cell: object) -> object:
        """Maps the name of our cell, or of a part of it, in a copy of the settings one change older or newer
        to our own name. Otherwise a cell whose members all have one copy would not recognise and refute an
        update about its own death from members with the other, and would stay dead for them."""
        other = isinstance(cell, str) and cell not in self.swim.members
        return self.cell if other and (covers(cell, self.cell) or covers(self.cell, cell)) else cell

    def _flush(self, row: CellStatus | None, sender: str | None = None) -> None:
        """Addresses messages to members: an answer to the requester, the rest to a contact of the cell."""
        for cell, message in self.swim.outbox:
            to = None
            if message["k"] in (Kind.ACK, Kind.NACK):
                to = self.relay_requesters.pop((cell, message["seq"]), None)
            if to is None and sender is not None and self.layout.cell_of[sender] == cell:
                to = sender
            addressed = message | {"from": self.me, "cell": 1}
            if row is not None and cell not in self.doubt_pings:
                addressed["row"] = row
            self.outbox.append((to or self._contact(cell), addressed))
        self.swim.outbox.clear()
        self.swim.changes.clear()
        if not self.speaks:  # only speakers spread updates, but any member refutes
            own = self.swim.rumours.get(self.cell)
            self.swim.rumours = {} if own is None else {self.cell: own}
