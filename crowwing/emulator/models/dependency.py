"""The dependency shared by all backends: slows down under load and fails above its limit. Free of I/O."""

from crowwing.emulator.models.processor_sharing import NEVER, ProcessorSharing, SlidingMean, WarmUp
from crowwing.emulator.plan import DownstreamSettings


class Dependency:
    def __init__(self, now: int, settings: DownstreamSettings) -> None:
        self.settings = settings
        self.slots = ProcessorSharing(
            now, settings.slots, WarmUp(now), settings.crowd_from, settings.crowd_cost
        )
        self.mean_in_flight = SlidingMean(now, round(settings.fall_s * 1e6))
        self.lingering: dict[str, int] = {}  # cancelled calls -> when they free their slot
        self.dead_until = 0
        self.deaths = 0
        self.peak = 0.0  # highest mean load, as a fraction of the load at which it fails

    def dead(self, now: int) -> bool:
        return now < self.dead_until

    def set_speed_factor(self, now: int, factor: float) -> None:
        """Runs all calls at `factor` times the speed; 0 hangs them."""
        self.slots.set_speed(now, factor)

    def admit(self, now: int, call: str, work: float) -> bool:
        """Admits a call; False means that it was rejected and never ran."""
        if self.dead(now) or 0 < self.settings.turns_away_at <= len(self.slots) / self.settings.slots:
            return False
        self.slots.add(now, call, work)
        self.mean_in_flight.set(now, len(self.slots))
        return True

    def give_up(self, now: int, call: str) -> None:
        """Cancels a call whose caller has gone; it keeps its slot for `lingers_ms`."""
        if call in self.slots.ends:
            self.lingering[call] = now + round(self.settings.lingers_ms * 1000)

    def next_at(self) -> int:
        return min(
            self.slots.next_at(), min(self.lingering.values(), default=NEVER), self._overload_check_at()
        )

    def ended(self, now: int) -> list[str]:
        """Returns the calls that are complete at `now`."""
        found = []
        while (call := self.slots.ended(now)) is not None:
            if self.lingering.pop(call, None) is None:
                found.append(call)
        for call in [call for call, until in self.lingering.items() if until <= now]:
            del self.lingering[call]
            self.slots.remove(now, call)
        self.slots.advance_to(now)
        self.mean_in_flight.set(now, len(self.slots))
        load = self.mean_in_flight.mean(now) / self.settings.slots
        self.peak = max(self.peak, load / self.settings.fall_multiple)
        if load > self.settings.fall_multiple and not self.dead(now):
            self._fail(now)
        return found

    def _overload_check_at(self) -> int:
        crowded = len(self.slots) > self.settings.fall_multiple * self.settings.slots
        return self.slots.now + self.mean_in_flight.span // 20 if crowded else NEVER

    def _fail(self, now: int) -> None:
        self.deaths += 1
        self.dead_until = now + round(self.settings.down_s * 1e6)
        for call in list(self.slots.ends):
            self.slots.remove(now, call)
        self.lingering.clear()
        self.mean_in_flight = SlidingMean(now, self.mean_in_flight.span)
