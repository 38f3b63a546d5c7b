"""Decides to which backend a sidecar sends an attempt, and whether it retries. Free of I/O.

As documented for the platform: each sidecar goes through its own list in its own order, learns of changes
in the control plane's list with a delay, and only some follow the retry-after and spare-capacity hints in
responses.
"""

from random import Random

from crowwing.emulator.plan import SidecarSettings

SPARE_CAPACITY_TTL_US = 1_000_000  # microseconds for which a reported spare capacity is trusted
MAX_RETRY_TOKENS = 10.0  # retries that habit 'capped' can accumulate


class Sidecar:
    def __init__(self, number: int, settings: SidecarSettings, backends: int, rng: Random) -> None:
        self.number, self.settings = number, settings
        self.order = list(range(backends))
        rng.shuffle(self.order)
        self.follows_hints = rng.random() < settings.heed
        self.listed = set(self.order)  # backends that it believes to be listed
        self.backoff_until: dict[int, int] = {}  # backend -> end of its back-off
        self.spare_capacity: dict[int, tuple[float, int]] = {}  # backend -> (spare capacity, when reported)
        self.in_flight = [0] * backends
        self.next_index = 0
        self.tokens = MAX_RETRY_TOKENS / 2

    def on_response(self, now: int, backend: int, spare_capacity: float | None, retry_after: int) -> None:
        """Takes the hints of a response; `retry_after` is in microseconds."""
        if not self.follows_hints:
            return
        if spare_capacity is not None:
            self.spare_capacity[backend] = (spare_capacity, now)
        if retry_after:
            self.backoff_until[backend] = now + retry_after

    def choose_first(self, now: int) -> int | None:
        """Returns the backend for a first attempt, round robin; None if none is available."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + self.settings.cap_part)
        return self._next(now, ())

    def choose_retry(
        self, now: int, tried: list[int], ending: str, idempotent: bool, give_up: bool
    ) -> int | None:
        """Returns the backend for a retry, or None.

        `ending` is how the last attempt ended: 'dismissed', 'forfeited', 'lost' or 'unreached'.
        """
        habit = self.settings.habit
        if len(tried) >= self.settings.tries_most:
            return None
        if ending == "unreached":  # never reached a backend, so every habit retries
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
        """Returns the backend for a hedged second attempt of a slow request, or None."""
        return self._next(now, tried) if len(tried) < self.settings.tries_most else None

    def _next(self, now: int, tried: list[int] | tuple[int, ...]) -> int | None:
        """Returns the next available backend not tried yet; once all are tried, 'uncapped' starts over."""
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
