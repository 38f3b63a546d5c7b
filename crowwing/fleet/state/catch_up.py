"""Whether this member has caught up with the fleet, and from whom to fetch next. Pure.

An acknowledged update is held by a majority of all members in the settings. A member that lost its memory and
has fetched from half of the members, rounded up, has therefore reached at least one holder of every such
update and has caught up. Until then it reports that it is not ready, but for no longer than `max_wait`,
because a fleet whose members cannot reach each other still has to serve. After `max_wait` it is ready but
continues to fetch, and does not count as current until it has fetched from enough members.

Catching up begins at the start, and when a member that could not reach a majority is reached again by members
that always could. If no member was current (a partition into three, or all restarted at once), nobody is
behind anybody and nobody becomes unready; otherwise the end of a partition would put the whole fleet out of
service.

A failed fetch delays all further ones, longer each time, until one succeeds, so the load of fetching from an
unresponsive fleet is bounded whatever its size. Without this delay, a backend restarted behind a partition
spent a whole core on refused connections to a thousand members in turn.
"""

import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CatchUpTiming:
    """Times in µs."""

    max_wait: int = 5_000_000  # ready after this, caught up or not
    retry_delay: int = 500_000  # after a failed fetch; doubled after each further one
    max_backoff_factor: int = 16  # times `retry_delay` at most
    isolation_timeout: int = 3_000_000  # a member without a majority for this long is isolated
    max_concurrent_fetches: int = 2  # fetches in flight


class CatchUp:
    """Catch-up state of one member; call `next_fetches` at every tick."""

    def __init__(
        self, size: int, now: int, timing: CatchUpTiming, quorum_size: int | None = None,
        rng: random.Random | None = None,
    ) -> None:  # fmt: skip
        """`size` members, this one included; `quorum_size` of them (default: all) hold acknowledged updates,
        and `next_fetches` must be given only those. `rng` adds jitter of up to half to the retry delays,
        so that members that start together do not ask the same few in step.
        """
        self.timing, self.rng = timing, rng
        quorum_size = size if quorum_size is None else quorum_size
        self.fetches_needed = 0 if size == 1 else (quorum_size + 1) // 2
        self.peers_for_majority = size // 2  # a majority together with this member
        self.started_at: int | None = now  # of the current catch-up; None: caught up
        self.wait_expired = False  # `max_wait` is over: ready, though behind
        self.fetched_from: set[str] = set()  # since then; cleared by the next catch-up
        self.in_flight: dict[str, int] = {}  # member -> start of the fetch; removed at its end
        self.failed_at: dict[str, int] = {}  # last failure; cleared by the next catch-up
        self.backoff, self.backoff_until = timing.retry_delay, now
        self.isolated_since: int | None = None  # None: a majority is reachable
        # A majority is reachable again after isolation, but no current member was seen yet.
        self.rejoined_since: int | None = None
        self.was_isolated = False
        self.checked_at = now
        # Of the last few catch-ups: time not ready, and whether the member was current at the end.
        self.wait_history: list[tuple[int, bool]] = []
        if not self.fetches_needed:  # a fleet of one: there is nobody to fetch from
            self._record_wait(now, current=True)
            self.started_at = None

    @property
    def ready(self) -> bool:
        return self.started_at is None or self.wait_expired

    @property
    def is_current(self) -> bool:
        """Caught up and not isolated from a majority; a returning member may rely on it."""
        return self.started_at is None and self.isolated_since is None and not self.was_isolated

    def update_reachable(self, now: int, alive: int) -> None:
        """`alive`: number of other members believed alive. Call it at least once per `isolation_timeout`: a
        longer gap means that this process was stalled, and so isolated without noticing."""
        if now - self.checked_at >= self.timing.isolation_timeout:
            self.was_isolated = True
        self.checked_at = now
        if alive < self.peers_for_majority:
            self.isolated_since = now if self.isolated_since is None else self.isolated_since
            self.rejoined_since = None
            if now - self.isolated_since >= self.timing.isolation_timeout:
                self.was_isolated = True
            return
        self.isolated_since = None
        if self.was_isolated and self.started_at is None:
            self.rejoined_since = now if self.rejoined_since is None else self.rejoined_since
            if now - self.rejoined_since >= self.timing.max_wait:
                self.was_isolated = False  # nobody was current; anti-entropy makes the replicas agree

    def current_member_seen(self, now: int) -> None:
        """A message of a current member arrived."""
        if (
            self.was_isolated
            and self.isolated_since is None
            and self.started_at is None
            and self.fetches_needed
        ):
            self._start(now)

    def _start(self, now: int) -> None:
        self.started_at, self.wait_expired = now, False
        self.fetched_from.clear()
        self.failed_at.clear()
        self.backoff, self.backoff_until = self.timing.retry_delay, now

    def next_fetches(self, now: int, alive: Iterable[str]) -> list[str]:
        """Members to fetch from now; also ends a wait that reached `max_wait`."""
        if self.started_at is None:
            return []
        if not self.wait_expired and now - self.started_at >= self.timing.max_wait:
            self.wait_expired = True
            self._record_wait(now, current=False)
        free = self.timing.max_concurrent_fetches - len(self.in_flight)
        if free <= 0 or now < self.backoff_until:
            return []
        able = [name for name in alive if name not in self.fetched_from and name not in self.in_flight]
        # Members that never failed in the given order, then those with the oldest failure.
        names = heapq.nsmallest(free, able, key=lambda name: self.failed_at.get(name, -1))
        for name in names:
            self.in_flight[name] = now
        return names

    def fetch_completed(self, now: int, name: str, good: bool) -> None:
        """A fetch ended. One that started before this catch-up does not count for it."""
        began = self.in_flight.pop(name, None)
        if not good:
            self.failed_at[name] = now
            stretched = 1.0 if self.rng is None else 1.0 + self.rng.random() / 2
            self.backoff_until = max(self.backoff_until, now + round(self.backoff * stretched))
            self.backoff = min(2 * self.backoff, self.timing.max_backoff_factor * self.timing.retry_delay)
            return
        self.backoff = self.timing.retry_delay
        if self.started_at is not None and began is not None and began >= self.started_at:
            self.fetched_from.add(name)
            if len(self.fetched_from) >= self.fetches_needed:
                if not self.wait_expired:
                    self._record_wait(now, current=True)
                self.started_at, self.wait_expired, self.was_isolated, self.rejoined_since = (
                    None,
                    False,
                    False,
                    None,
                )

    def _record_wait(self, now: int, current: bool) -> None:
        self.wait_history.append((now - self.started_at, current))
        del self.wait_history[:-8]

    def wake_at(self, now: int) -> int | None:
        """The next time at which `next_fetches` may return something."""
        if self.started_at is None:
            return None
        times = [] if self.wait_expired else [self.started_at + self.timing.max_wait]
        if len(self.in_flight) < self.timing.max_concurrent_fetches and self.backoff_until > now:
            times.append(self.backoff_until)
        return min(times, default=None)
