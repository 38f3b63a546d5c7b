"""Pure members on a simulated network: seeded loss, delay and cuts, in simulated time. For tests and
measurements.

One heap of events in µs; a message is lost, delayed by `delay` plus up to `jitter`, or dropped by a cut
between two groups. Nothing here reads a clock or a socket.
"""

import heapq
import random
from collections.abc import Callable

from crowwing.fleet.swim import DEAD, Membership, Timing


class World:
    def __init__(self, size: int, seed: int, timing: Timing, delay: int = 500, jitter: int = 1500) -> None:
        self.chance = random.Random(seed)
        self.now = 0
        self.names = [f"m{n}" for n in range(size)]
        self.members = {
            name: Membership(
                name, [o for o in self.names if o != name], 0, random.Random(f"{seed}/{name}"), timing
            )
            for name in self.names
        }
        self.loss, self.delay, self.jitter = 0.0, delay, jitter
        self.cut: Callable[[str, str], bool] = lambda _, __: False
        self.paused: set[str] = set()
        self.queue: list[
            tuple[int, int, str, dict | None]
        ] = []  # (when, order, to, message or None for a turn)
        self.order = 0
        self.sent = 0
        self.changes: list[tuple[int, str, str, str]] = []  # (µs, observer, member, state)
        for name in self.names:
            self._at(self.chance.randrange(timing.period), name, None)

    def _at(self, when: int, to: str, message: dict | None) -> None:
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, to, message))

    def _carry(self, name: str) -> None:
        member = self.members[name]
        for to, message in member.outbox:
            self.sent += 1
            if self.chance.random() < self.loss or self.cut(name, to):
                continue
            self._at(self.now + self.delay + self.chance.randrange(self.jitter + 1), to, message)
        member.outbox.clear()
        self.changes += [(self.now, name, who, state) for who, state, _ in member.changes]
        member.changes.clear()

    def run_until(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, to, message = heapq.heappop(self.queue)
            member = self.members[to]
            if to in self.paused:
                if message is None:
                    self._at(self.now + 10_000, to, None)
                continue
            if message is None:
                member.turn(self.now)
                self._at(max(self.now + 1, member.wake_at()), to, None)
            else:
                member.heard(self.now, message)
                member.turn(self.now)
            self._carry(to)
        self.now = until

    def kill(self, name: str) -> None:
        """Gone for good: nothing reaches it, and it sends nothing."""
        self.paused.add(name)

    def held_dead(self, name: str, by: list[str] | None = None) -> bool:
        """Every other live member holds `name` dead."""
        return all(
            self.members[o].members[name].state == DEAD
            for o in (by or self.names)
            if o != name and o not in self.paused
        )

    def agreed(self) -> bool:
        """Every live member holds every live member alive and every paused one dead."""
        for name in self.names:
            if name in self.paused:
                continue
            for other, seen in self.members[name].members.items():
                if (other in self.paused) != (seen.state == DEAD):
                    return False
        return True
