"""What lies below: slots that all backends share, slower when crowded, dead past its limit. Pure."""

from crowwing.emulator.models.sharing import NEVER, Mean, Sharing, Warming
from crowwing.emulator.plan import BelowFacts


class Dependency:
    def __init__(self, now: int, facts: BelowFacts) -> None:
        self.facts = facts
        self.slots = Sharing(now, facts.slots, Warming(now), facts.crowd_from, facts.crowd_cost)
        self.hand = Mean(now, round(facts.fall_s * 1e6))
        self.lingering: dict[str, int] = {}  # calls given up -> when they leave
        self.dead_until = 0
        self.deaths = 0
        self.most = 0.0  # of what is in hand, against what it falls at

    def dead(self, now: int) -> bool:
        return now < self.dead_until

    def slow(self, now: int, factor: float) -> None:
        """All calls at `factor` times the speed; 0 hangs them."""
        self.slots.set_speed(now, factor)

    def take(self, now: int, call: str, work: float) -> bool:
        """Whether the call is let in; False: turned away, it never ran."""
        if self.dead(now) or 0 < self.facts.turns_away_at <= len(self.slots) / self.facts.slots:
            return False
        self.slots.add(now, call, work)
        self.hand.set(now, len(self.slots))
        return True

    def give_up(self, now: int, call: str) -> None:
        """Its caller has gone; it lingers for a while and takes its slot until then."""
        if call in self.slots.ends:
            self.lingering[call] = now + round(self.facts.lingers_ms * 1000)

    def next_at(self) -> int:
        return min(self.slots.next_at(), min(self.lingering.values(), default=NEVER), self._falls_at())

    def ended(self, now: int) -> list[str]:
        """Calls whose reply can go out at `now`."""
        found = []
        while (call := self.slots.ended(now)) is not None:
            if self.lingering.pop(call, None) is None:
                found.append(call)
        for call in [call for call, until in self.lingering.items() if until <= now]:
            del self.lingering[call]
            self.slots.remove(now, call)
        self.slots.pass_to(now)
        self.hand.set(now, len(self.slots))
        part = self.hand.mean(now) / self.facts.slots
        self.most = max(self.most, part / self.facts.fall_multiple)
        if part > self.facts.fall_multiple and not self.dead(now):
            self._fall(now)
        return found

    def _falls_at(self) -> int:
        crowded = len(self.slots) > self.facts.fall_multiple * self.facts.slots
        return self.slots.now + self.hand.span // 20 if crowded else NEVER

    def _fall(self, now: int) -> None:
        self.deaths += 1
        self.dead_until = now + round(self.facts.down_s * 1e6)
        for call in list(self.slots.ends):
            self.slots.remove(now, call)
        self.lingering.clear()
        self.hand = Mean(now, self.hand.span)
