"""What comes in: a ticket is read, and judged by the cut, its customer's share and its repeats."""

from crowwing.contract import Id, Repeat, Result, Step
from crowwing.logic.backend_state import PROBE, SICK, SURVIVE, WAKE_EVERY, Books
from crowwing.logic.request_handle import HELD, NEW, SHARING, Ticket

ALIKE, BOUNDS = 20_000, 8  # tries whose bounds are so close share one; bounds remembered a traffic type

SHARE_SPAN = 5_000_000  # the time over which a customer's traffic is held against its share
FLOW_UNITS = 1e9  # a unit so large is made 1 again, and whoever has faded away is forgotten


class Intake(Books):
    """Reads and judges arrivals."""

    # fmt: off
    def take(self, now: int, op_id: Id, kind: int, team: int, rank: float, kb: float, arrived: int, due: int,
             by: int, repeats: Id, key: Id, write: bool, again: bool = False) -> Ticket:
        # fmt: on
        """A ticket has been read; `due` is 0 where its caller's patience is not told. `again`: what is likely
        a repeat in a storm, though nothing marks it; its rank counts as one beyond its customer's share."""
        t = Ticket(self, op_id, kind, kb)
        t.rank = rank * (self.facts.over_share_credit if again else 1.0)
        t.team, t.arrived, t.repeats, t.key, t.write = team, arrived, repeats, key, write
        t.due = max(now, due or arrived + t.type.outer_limit)
        t.aim = min(t.due, arrived + t.type.expected_time)
        self.span[kind] += round(0.05 * (t.aim - arrived - self.span[kind]))
        age = self.age(kind, t.type.outer_limit, due - arrived) if due else 0
        if age < t.type.expected_time:
            t.aim = max(arrived, min(t.due, arrived + t.type.expected_time - age))
        else:  # its answer earns nothing any more: it runs only where there is room
            t.rank = 0.0
        self.came += 1
        later = age > 0 or not due  # where nothing tells, tickets are taken to be tried again
        self.again += max(0.005, 1 / self.came) * (later - self.again)
        self.turned *= 0.995
        self.unread += 0.1 * (now - arrived - self.unread)
        self.returning += max(0.02, 1 / self.came) * ((by in self.weights) - self.returning)
        self.shed *= 0.95
        self.weights[by] = self.weights.get(by, 0.0) + 1.0
        self.open[op_id] = t
        self.arrivals.append(t)
        self.move(t, NEW)
        return t

    def age(self, kind: int, outer: int, left: int) -> int:
        """How old a ticket was when this try came. Callers bound their tries alike; a bound that few share is
        what is left of the outer limit. Guards against work for late answers while tickets are tried again.
        Could harm callers with a bound of their own that send under a 20th: they rank last."""
        bounds = {at: 0.99 * weight for at, weight in self.bounds[kind].items()}
        alike = next((at for at in bounds if abs(at - left) < ALIKE), left)
        if alike == left and len(bounds) == BOUNDS and left not in bounds:
            del bounds[min(bounds, key=lambda at: bounds[at])]
        bounds[alike] = bounds.get(alike, 0.0) + 1
        self.bounds[kind], total = bounds, sum(bounds.values())
        return 0 if total < 20 or bounds[alike] > total / 20 else max(0, outer - left)

    def judge(self, now: int, out: list[Result]) -> None:
        """Each arrival of this moment is dismissed at once or joins the hold."""
        for t in self.arrivals:
            if t.closed or self.seen_before(t, now, out):
                continue
            t.rank = self.worth(t, self.share_left(t, now))
            full = self.used() > SURVIVE * self.facts.memory_kb or self.lined_up(t)
            if self.barred(t, now):
                self.dismiss(t, now, out, elsewhere=True)
            elif t.rank < self.cut or full or not self.keepable(t, now, out):
                self.dismiss(t, now, out)
            else:
                self.move(t, HELD)
        self.arrivals.clear()

    def barred(self, t: Ticket, now: int) -> bool:
        """What is better off at another backend: after the grace of a drain, and while runs fail here."""
        if self.notice:
            late = now + 2 * self.median[t.kind] + 2 * WAKE_EVERY > self.stop
            return late or t.arrived > self.notice + self.facts.grace
        return self.stalled(now) or (self.errors > SICK and self.random() > PROBE)

    def share_left(self, t: Ticket, now: int) -> float:
        """The part of its credit that a ticket can expect. Which tickets lie beyond their customer's share is
        told nowhere, so all carry alike what its traffic of late, against this backend's even part, says.
        Guards against floods of one customer. Could harm one whose traffic comes unevenly to the backends."""
        if not self.facts.shares:
            return 1.0
        left, self.flow_at = max(0.0, 1 - (now - self.flow_at) / SHARE_SPAN), now
        self.flow_unit /= max(left, 1 / FLOW_UNITS)
        if self.flow_unit >= FLOW_UNITS:
            least, unit = 1e-6 if left else FLOW_UNITS, self.flow_unit
            self.flow = {team: seen / unit for team, seen in self.flow.items() if seen > least * unit}
            self.flow_unit = 1.0
        self.flow[t.team] = self.flow.get(t.team, 0.0) + self.flow_unit
        even = 1.3 * self.facts.shares[t.team] / max(1, self.facts.fleet) * self.parts[t.team]
        inside = min(1.0, (even * SHARE_SPAN / 1e6 + 2) * self.flow_unit / self.flow[t.team])
        return inside + self.facts.over_share_credit * (1 - inside)

    def worth(self, t: Ticket, part: float) -> float:
        """The rank of a ticket that expects `part` of its credit: above the types whose credit it passes."""
        lesser = sum(other.credit < part * t.type.credit for other in self.facts.types)
        return max(t.rank * part, min(t.rank, lesser / len(self.facts.types)))

    def seen_before(self, t: Ticket, now: int, out: list[Result]) -> bool:
        """Repeats: what has run is shared, and a labelled ticket takes the place of its held earlier try."""
        first = self.open.get(t.repeats)
        if not t.repeats or t.repeats in self.unrun or t.type.repeat is Repeat.IRREVERSIBLE:
            return False
        if first is not None and first.answered and first.type.repeat is Repeat.REDOABLE:
            return False
        if first is not None and first.state in (NEW, HELD) and not first.ran:
            if t.type.repeat is Repeat.LABELLED and first.state == HELD and self.keepable(t, now, out):
                self.kept.pop(first.id, None)
                self.dismiss(first, now, out, elsewhere=False)
            return False
        self.move(t, SHARING)
        t.ran = True
        out.append((Step.SHARE, t, 0))
        return True

    def keepable(self, t: Ticket, now: int, out: list[Result]) -> bool:
        """A labelled ticket is known by its entry once read; without room for one it may not run."""
        if t.type.repeat is not Repeat.LABELLED or t.id in self.kept:
            return True
        span = t.arrived + t.type.window - now + WAKE_EVERY
        return span <= 0 or self.keep(t, now, span, out)
