"""Whether this member has caught up with the fleet, and from whom to fetch next. Pure.

An acknowledged update is held by a majority of all members that settings name, at least half of all besides
any one. Whoever has lost its memory and fetched from half of all, rounded up, has so met for each update at
least one other that holds it: that is when it has caught up. Before, it says that it is not ready, but never
for longer than `most`: a fleet whose members cannot reach each other still has to serve. It goes on fetching
then, and does not pass for whole until it has met enough.

Catching up begins with a start, and with a return: this member was out of reach of a majority and now hears
from members that never were. Where no member was whole (a cut into three, all restarted at once), nobody is
behind anybody, and nobody leaves the list: guards against a fleet that heals and is gone for that.

A fetch that fails makes all further ones wait, longer each time, until one succeeds: what a member asks of a
fleet that does not answer is bounded for the member, whatever the fleet's size. Guards against a backend
restarted behind a cut, which spent a whole core on connections refused by a thousand members in turn.
"""

import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Patience:
    """Times in µs."""

    most: int = 5_000_000  # not ready for longer than this, caught up or not
    again: int = 500_000  # after a fetch that failed, the next; twice as long after each further one
    again_most: int = 16  # times `again` at most
    away: int = 3_000_000  # out of reach of a majority for this long counts as away
    at_once: int = 2  # fetches that are out together


class CatchUp:
    """One member's; feed it what is reached, fetched and said, and ask `fetch` at every turn."""

    def __init__(
        self, size: int, now: int, patience: Patience, keepers: int | None = None,
        chance: random.Random | None = None,
    ) -> None:  # fmt: skip
        """`size` members, this one too; `keepers` of them, all where none are told, hold what is
        acknowledged. `fetch` is only to be told of those. `chance`: waits are up to half as long again by it,
        so that members that start together do not ask the same few in step.
        """
        self.patience, self.chance = patience, chance
        keepers = size if keepers is None else keepers
        self.others = 0 if size == 1 else (keepers + 1) // 2  # to fetch from
        self.near = size // 2  # with this member, a majority of all
        self.began: int | None = now  # of catching up; None: caught up
        self.waited = False  # long enough for this catching up: ready, though behind
        self.met: set[str] = set()  # fetched from since then; emptied by the next catching up
        self.out: dict[str, int] = {}  # fetches that are out -> when they began; emptied by their ends
        self.failed: dict[str, int] = {}  # when it last failed; emptied by the next catching up
        self.pause, self.paused_until = patience.again, now  # after the next failure; from the last one
        self.alone_since: int | None = None  # out of reach of a majority; None: in reach
        self.back_since: int | None = None  # in reach again after having been away, and no whole member met
        self.was_away = False
        self.looked = now
        self.took: list[
            tuple[int, bool]
        ] = []  # of the last few: how long not ready, and whether it then was whole
        if not self.others:  # alone by its settings: nobody holds what it lacks
            self._note(now, whole=True)
            self.began = None

    @property
    def ready(self) -> bool:
        return self.began is None or self.waited

    @property
    def whole(self) -> bool:
        """What a returning member may trust: caught up, and not out of reach of a majority."""
        return self.began is None and self.alone_since is None and not self.was_away

    def reaches(self, now: int, alive: int) -> None:
        """`alive`: how many others are held alive. To be told at least once in `away`: a longer gap means
        that this process stood still, and was away without knowing."""
        if now - self.looked >= self.patience.away:
            self.was_away = True
        self.looked = now
        if alive < self.near:
            self.alone_since = now if self.alone_since is None else self.alone_since
            self.back_since = None
            if now - self.alone_since >= self.patience.away:
                self.was_away = True
            return
        self.alone_since = None
        if self.was_away and self.began is None:
            self.back_since = now if self.back_since is None else self.back_since
            if now - self.back_since >= self.patience.most:
                self.was_away = False  # nobody was whole; the comparing of digests brings all together

    def heard_whole(self, now: int) -> None:
        """A member that is whole spoke to us."""
        if self.was_away and self.alone_since is None and self.began is None and self.others:
            self._begin(now)

    def _begin(self, now: int) -> None:
        self.began, self.waited = now, False
        self.met.clear()
        self.failed.clear()
        self.pause, self.paused_until = self.patience.again, now

    def fetch(self, now: int, alive: Iterable[str]) -> list[str]:
        """Whom to fetch from now; also ends the waiting that has had its time."""
        if self.began is None:
            return []
        if not self.waited and now - self.began >= self.patience.most:
            self.waited = True
            self._note(now, whole=False)
        free = self.patience.at_once - len(self.out)
        if free <= 0 or now < self.paused_until:
            return []
        able = [name for name in alive if name not in self.met and name not in self.out]
        # Those that never failed in the order told, then the ones whose failure lies furthest back.
        names = heapq.nsmallest(free, able, key=lambda name: self.failed.get(name, -1))
        for name in names:
            self.out[name] = now
        return names

    def fetched(self, now: int, name: str, good: bool) -> None:
        """A fetch ended. What was begun before this catching up says nothing of it."""
        began = self.out.pop(name, None)
        if not good:
            self.failed[name] = now
            stretched = 1.0 if self.chance is None else 1.0 + self.chance.random() / 2
            self.paused_until = max(self.paused_until, now + round(self.pause * stretched))
            self.pause = min(2 * self.pause, self.patience.again_most * self.patience.again)
            return
        self.pause = self.patience.again
        if self.began is not None and began is not None and began >= self.began:
            self.met.add(name)
            if len(self.met) >= self.others:
                if not self.waited:
                    self._note(now, whole=True)
                self.began, self.waited, self.was_away, self.back_since = None, False, False, None

    def _note(self, now: int, whole: bool) -> None:
        self.took.append((now - self.began, whole))
        del self.took[:-8]

    def wake_at(self, now: int) -> int | None:
        """The next moment at which `fetch` may have something to say."""
        if self.began is None:
            return None
        moments = [] if self.waited else [self.began + self.patience.most]
        if len(self.out) < self.patience.at_once and self.paused_until > now:
            moments.append(self.paused_until)
        return min(moments, default=None)
