"""What a sidecar decides: which backend a try goes to, and whether there is another. Pure.

Facts from the platform's pages: each goes through its own list in its own order, knows what the control
plane lists some time late, and only some follow the advice and the free values that answers carry.
"""

from random import Random

from crowwing.emulator.plan import SidecarFacts

FREE_VALUE_FOR = 1_000_000  # microseconds that a free value is believed without a newer one
TOKENS_MOST = 10.0  # repeats that habit 'capped' can save up


class Sidecar:
    def __init__(self, number: int, facts: SidecarFacts, backends: int, chance: Random) -> None:
        self.number, self.facts = number, facts
        self.order = list(range(backends))
        chance.shuffle(self.order)
        self.heeds = chance.random() < facts.heed
        self.listed = set(self.order)  # as far as it knows
        self.away: dict[int, int] = {}  # backend -> until when it stays away; one entry a backend
        self.free: dict[int, tuple[float, int]] = {}  # backend -> free value, when it was told
        self.out = [0] * backends
        self.turn = 0
        self.tokens = TOKENS_MOST / 2

    def heard(self, now: int, backend: int, free_value: float | None, away: int) -> None:
        """What an answer carried; `away` in microseconds."""
        if not self.heeds:
            return
        if free_value is not None:
            self.free[backend] = (free_value, now)
        if away:
            self.away[backend] = now + away

    def first(self, now: int) -> int | None:
        """For the first try of a ticket: on in turn; None where none may be had."""
        self.tokens = min(TOKENS_MOST, self.tokens + self.facts.cap_part)
        return self._next(now, ())

    def after(self, now: int, tried: list[int], ending: str, safe: bool, give_up: bool) -> int | None:
        """Where the ticket goes after a try that ended 'dismissed', 'forfeited', 'lost' or 'unreached'."""
        habit = self.facts.habit
        if len(tried) >= self.facts.tries_most:
            return None
        if ending == "unreached":  # it never came there, so any habit goes on
            return self._next(now, tried)
        if give_up and self.heeds:
            return None
        if ending != "dismissed" and not (safe and habit in ("capped", "uncapped")):
            return None
        if habit in ("none", "copy"):
            return None
        if habit == "capped":
            if self.tokens < 1:
                return None
            self.tokens -= 1
        return self._next(now, tried)

    def copy(self, now: int, tried: list[int]) -> int | None:
        """Where a second copy of a slow ticket goes."""
        return self._next(now, tried) if len(tried) < self.facts.tries_most else None

    def _next(self, now: int, tried: list[int] | tuple[int, ...]) -> int | None:
        """The next of its list in turn that is not tried yet; with all tried, 'uncapped' begins again."""
        count = len(self.order)
        for step in range(count):
            backend = self.order[(self.turn + step) % count]
            if backend not in tried and self.open_to(now, backend):
                self.turn = (self.turn + step + 1) % count
                return backend
        if tried and self.facts.habit == "uncapped":
            return self._next(now, ())
        return None

    def open_to(self, now: int, backend: int) -> bool:
        if backend not in self.listed or self.away.get(backend, 0) > now:
            return False
        value, told = self.free.get(backend, (0.0, -FREE_VALUE_FOR))
        return now - told >= FREE_VALUE_FOR or self.out[backend] < value
