"""What a sidecar decides: which backend a try goes to, and whether there is another. Pure.

Facts from the platform's pages: each goes through its own list in its own order, knows what the control
plane lists some time late, and only some follow the advice and the free values that answers carry.
"""

from random import Random

from crowwing.emulator.plan import SidecarSettings

SPARE_CAPACITY_TTL_US = 1_000_000  # microseconds that a free value is believed without a newer one
MAX_RETRY_TOKENS = 10.0  # repeats that habit 'capped' can save up


class Sidecar:
    def __init__(self, number: int, settings: SidecarSettings, backends: int, rng: Random) -> None:
        self.number, self.settings = number, settings
        self.order = list(range(backends))
        rng.shuffle(self.order)
        self.follows_hints = rng.random() < settings.heed
        self.listed = set(self.order)  # as far as it knows
        self.backoff_until: dict[int, int] = {}  # backend -> until when it stays away; one entry a backend
        self.spare_capacity: dict[
            int, tuple[float, int]
        ] = {}  # backend -> free value, when it was reported_at
        self.in_flight = [0] * backends
        self.next_index = 0
        self.tokens = MAX_RETRY_TOKENS / 2

    def on_response(self, now: int, backend: int, spare_capacity: float | None, retry_after: int) -> None:
        """What an answer carried; `away` in microseconds."""
        if not self.follows_hints:
            return
        if spare_capacity is not None:
            self.spare_capacity[backend] = (spare_capacity, now)
        if retry_after:
            self.backoff_until[backend] = now + retry_after

    def choose_first(self, now: int) -> int | None:
        """For the first try of a ticket: on in turn; None where none may be had."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + self.settings.cap_part)
        return self._next(now, ())

    def choose_retry(
        self, now: int, tried: list[int], ending: str, idempotent: bool, give_up: bool
    ) -> int | None:
        """Where the ticket goes after a try that ended 'dismissed', 'forfeited', 'lost' or 'unreached'."""
        habit = self.settings.habit
        if len(tried) >= self.settings.tries_most:
            return None
        if ending == "unreached":  # it never came there, so any habit goes on
            return self._next(now, tried)
        if give_up and self.follows_hints:
            return None
        if ending != "dismissed" and not (idempotent and habit in ("capped", "uncapped")):
            return None
        if habit in ("none", "copy"):
            return None
        if habit == "capped":
            if self.tokens < 1:
                return None
            self.tokens -= 1
        return self._next(now, tried)

    def choose_hedge(self, now: int, tried: list[int]) -> int | None:
        """Where a second copy of a slow ticket goes."""
        return self._next(now, tried) if len(tried) < self.settings.tries_most else None

    def _next(self, now: int, tried: list[int] | tuple[int, ...]) -> int | None:
        """The next of its list in turn that is not tried yet; with all tried, 'uncapped' begins again."""
        count = len(self.order)
        for step in range(count):
            backend = self.order[(self.next_index + step) % count]
            if backend not in tried and self.accepts(now, backend):
                self.next_index = (self.next_index + step + 1) % count
                return backend
        if tried and self.settings.habit == "uncapped":
            return self._next(now, ())
        return None

    def accepts(self, now: int, backend: int) -> bool:
        if backend not in self.listed or self.backoff_until.get(backend, 0) > now:
            return False
        value, reported_at = self.spare_capacity.get(backend, (0.0, -SPARE_CAPACITY_TTL_US))
        return now - reported_at >= SPARE_CAPACITY_TTL_US or self.in_flight[backend] < value
