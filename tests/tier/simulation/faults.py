"""Random faults by seed, at any time and overlapping.

`Budget` bounds how many store machines may be lost at one time; a restarted machine counts as lost until it
has had the time to catch up. Faults that hit all machines lose no more disks than the bound.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

from tests.tier.simulation.clients import Operator
from tests.tier.simulation.world import World

CATCH_UP_S = 4.8

FaultKind = Callable[[str, float], Coroutine[Any, Any, None]]


@dataclass
class Budget:
    """Which store machines count as lost, until when, and which of them have lost their disk."""

    limit: int
    until: dict[str, float] = field(default_factory=dict)

    def lost(self, now: float) -> set[str]:
        """The machines that count as lost."""
        return {host for host, until in self.until.items() if until > now}

    def may_lose(self, host: str, now: float) -> bool:
        """Whether one more may be lost."""
        return len(self.lost(now) | {host}) <= self.limit

    def lose(self, host: str, until: float) -> None:
        """A machine counts as lost until a time."""
        self.until[host] = max(until, self.until.get(host, 0.0))


class Faults:
    """Draws faults and injects them."""

    def __init__(self, world: World, exceeds_tolerance: bool = False) -> None:
        """`exceeds_tolerance`: losses may overlap beyond the bound, except losses of disks."""
        self.world, self.exceeds_tolerance = world, exceeds_tolerance
        self.random = Random(f"{world.seed}/faults")
        self.budget = Budget(world.faults)
        self.without_data: set[str] = set()  # lost their disk and have not been members since
        self.operator = Operator(world, "operator-faults")
        self.spares = 0
        self.in_progress: list[asyncio.Task[Any]] = []
        self.kinds: list[FaultKind] = [
            self.kill, self.power, self.wipe, self.freeze, self.terminate, self.isolate_from_stores,
            self.partition_one_way, self.isolate_from_all, self.split, self.kill_all, self.power_all,
            self.wipe_and_power_all, self.slow_disk, self.full_disk, self.stalled_disk, self.step_clock,
            self.reset, self.quota, self.lose_answers, self.replace, self.add_spare, self.retire,
            self.change_seeds, self.miss_changes, self.heal_and_kill_others, self.front,
        ]  # fmt: skip

    async def work(self, until: float, gap_s: float = 4.0) -> None:
        """Draws faults until a time."""
        while self.world.now < until:
            await asyncio.sleep(self.random.uniform(0.0, gap_s))
            hosts = sorted(self.world.stores)
            host, kind = self.random.choice(hosts), self.random.choice(self.kinds)
            self.in_progress.append(asyncio.ensure_future(kind(host, self.random.uniform(0.1, 3.0))))
        for task in self.in_progress:
            await task

    def _may_lose(self, host: str, span_s: float, disk: bool = False) -> bool:
        """Whether a machine may be lost now; if so, counts it as lost until it can have caught up."""
        now = self.world.now
        if host not in self.world.stores or not self.world.stores[host].is_up:
            return False
        if disk and not self._may_lose_disk(host):
            return False
        if not self.exceeds_tolerance and not self.budget.may_lose(host, now):
            return False
        back = now + span_s + self.world.start_s[1] + CATCH_UP_S
        self.budget.lose(host, back)
        if disk:
            self.without_data.add(host)
        return True

    def _may_lose_disk(self, host: str) -> bool:
        """Whether one more disk may be lost.

        A machine has its data again once it is a member; once the view is full, other members have the data.
        """
        synchronized = self.world.synchronized_members()
        self.without_data -= synchronized
        if len(synchronized) >= self.world.full_view:
            self.without_data.clear()
        return len(self.without_data | {host}) <= self.world.faults

    def _others(self, host: str) -> list[str]:
        return [other for other in sorted(self.world.stores) if other != host]

    async def _stop_for(self, host: str, span_s: float, **how: bool) -> None:
        self.world.stop(host, **how)
        await asyncio.sleep(span_s)
        if host in self.world.stores and not self.world.stores[host].is_up:
            self.world.start(host)

    async def _wait_for_acknowledgement(self) -> None:
        """With probability 0.5 waits until a change has just been acknowledged."""
        if self.random.random() < 0.5:
            return
        history = self.world.history
        seen = len(history.calls)
        for _ in range(400):
            await asyncio.sleep(0.001)
            if any(call.status == 200 and call.kind == "put" for call in history.calls[seen:]):
                break
        await asyncio.sleep(self.random.uniform(0.0, 0.004))

    # Losses of one machine

    async def kill(self, host: str, span_s: float) -> None:
        """A process is killed."""
        await self._wait_for_acknowledgement()
        if self._may_lose(host, span_s):
            await self._stop_for(host, span_s)

    async def power(self, host: str, span_s: float) -> None:
        """A machine loses power."""
        await self._wait_for_acknowledgement()
        if self._may_lose(host, span_s):
            await self._stop_for(host, span_s, power=True)

    async def wipe(self, host: str, span_s: float) -> None:
        """A machine loses its disk."""
        await self._wait_for_acknowledgement()
        if self._may_lose(host, span_s, disk=True):
            await self._stop_for(host, span_s, power=True, wipe=True)

    async def freeze(self, host: str, span_s: float) -> None:
        """A process is paused."""
        if self._may_lose(host, span_s):
            self.world.freeze(host, span_s)

    async def terminate(self, host: str, span_s: float) -> None:
        """A process gets SIGTERM and restarts; at times it is partitioned meanwhile."""
        if not self._may_lose(host, span_s):
            return
        self.world.history.record_fault(self.world.now, f"terminate {host}")
        ending = asyncio.ensure_future(self.world.stores[host].terminate())
        if self.random.random() < 0.4:
            await asyncio.sleep(self.random.uniform(0.0, 0.004))
            self.world.partition([host], self._others(host))
        await ending
        await asyncio.sleep(span_s)
        self.world.heal()
        if host in self.world.stores and not self.world.stores[host].is_up:
            self.world.start(host)

    async def _partition_for(
        self, some: list[str], others: list[str], span_s: float, one_way: bool = False
    ) -> None:
        how = self.random.choice([{}, {}, {"refuse": True}, {"reset": True}])
        self.world.partition(some, others, one_way, **how)
        await asyncio.sleep(span_s * self.random.choice([1.0, 1.0, 7.0]))
        self.world.heal()

    async def isolate_from_stores(self, host: str, span_s: float) -> None:
        """A machine is partitioned from the other store machines; fronts and clients reach it."""
        if self._may_lose(host, span_s * 7):
            await self._partition_for([host], self._others(host), span_s)

    async def partition_one_way(self, host: str, span_s: float) -> None:
        """The same in one direction only."""
        if self._may_lose(host, span_s * 7):
            some, others = [host], self._others(host)
            if self.random.random() < 0.5:
                some, others = others, some
            await self._partition_for(some, others, span_s, one_way=True)

    async def isolate_from_all(self, host: str, span_s: float) -> None:
        """A machine is partitioned from all other machines of the system."""
        if self._may_lose(host, span_s * 7):
            await self._partition_for([host], [*self._others(host), *sorted(self.world.fronts)], span_s)

    async def miss_changes(self, host: str, span_s: float) -> None:
        """A machine misses changes; another loses its disk, the rest lose power, the partition heals."""
        if not self.exceeds_tolerance or not self._may_lose(host, span_s):
            return
        others = self._others(host)
        self.world.partition([host], others)
        await asyncio.sleep(span_s)
        stopped = [x for x in others if x in self.world.stores and self.world.stores[x].is_up]
        wiped = next((other for other in stopped if self._may_lose_disk(other)), None)
        for other in stopped:
            if other == wiped:
                self.without_data.add(other)
            self.world.stop(other, power=True, wipe=other == wiped)
        self.world.heal()
        if wiped is not None:
            self.world.start(wiped)
        await asyncio.sleep(span_s)
        for other in stopped:
            if other in self.world.stores and not self.world.stores[other].is_up:
                self.world.start(other)

    async def heal_and_kill_others(self, host: str, span_s: float) -> None:
        """A machine is partitioned; after the partition heals the processes of the others are killed."""
        if not self._may_lose(host, span_s):
            return
        others = self._others(host)
        self.world.partition([host], others)
        await asyncio.sleep(span_s)
        self.world.heal()
        await asyncio.sleep(self.random.uniform(0.0, 0.02))
        await self._stop_all(others, power=False, wiped=None)

    # Faults of all store machines

    async def split(self, _host: str, span_s: float) -> None:
        """Half of the store machines are partitioned from the other half."""
        hosts = sorted(self.world.stores)
        self.random.shuffle(hosts)
        half = hosts[: len(hosts) // 2]
        await self._partition_for(half, [other for other in hosts if other not in half], span_s)

    async def _stop_all(self, hosts: list[str], power: bool, wiped: str | None) -> None:
        stopped = [host for host in hosts if host in self.world.stores and self.world.stores[host].is_up]
        for host in stopped:
            self.world.stop(host, power=power, wipe=host == wiped)
            self.budget.lose(host, self.world.now + CATCH_UP_S)
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        for host in stopped:
            if host in self.world.stores and not self.world.stores[host].is_up:
                self.world.start(host)
                await asyncio.sleep(self.random.uniform(0.0, 0.2))

    async def kill_all(self, _host: str, _span_s: float) -> None:
        """All processes are killed."""
        await self._wait_for_acknowledgement()
        await self._stop_all(sorted(self.world.stores), power=False, wiped=None)

    async def power_all(self, _host: str, _span_s: float) -> None:
        """All store machines lose power."""
        await self._wait_for_acknowledgement()
        await self._stop_all(sorted(self.world.stores), power=True, wiped=None)

    async def wipe_and_power_all(self, host: str, span_s: float) -> None:
        """One machine loses its disk and all others lose power."""
        await self._wait_for_acknowledgement()
        if self._may_lose(host, span_s, disk=True):
            await self._stop_all(sorted(self.world.stores), power=True, wiped=host)

    # Disks, clocks, connections, processor

    async def slow_disk(self, host: str, span_s: float) -> None:
        """A disk takes 30 times as long."""
        if self._may_lose(host, span_s):
            self.world.history.record_fault(self.world.now, f"slow disk {host}")
            disk_faults = self.world.stores[host].disk_faults
            disk_faults.factor = 30.0
            await asyncio.sleep(span_s)
            disk_faults.factor = 1.0

    async def full_disk(self, host: str, span_s: float) -> None:
        """A disk is full."""
        if self._may_lose(host, span_s):
            self.world.history.record_fault(self.world.now, f"full disk {host}")
            files = self.world.stores[host].files
            files.is_full = True
            await asyncio.sleep(span_s)
            files.is_full = False

    async def stalled_disk(self, host: str, span_s: float) -> None:
        """A disk completes no write."""
        if self._may_lose(host, span_s):
            self.world.history.record_fault(self.world.now, f"stalled disk {host}")
            self.world.stores[host].disk_faults.stalled_until = self.world.now + span_s

    async def step_clock(self, host: str, span_s: float) -> None:
        """The wall clock jumps and later returns."""
        store = self.world.stores.get(host)
        if store is None:
            return
        store.clock_offset_ms = self.random.choice([-2000.0, 2000.0])
        await asyncio.sleep(span_s)
        store.clock_offset_ms = 0.0

    async def reset(self, host: str, _span_s: float) -> None:
        """Some of a machine's connections are reset."""
        self.world.network.reset_connections(host, 0.5)

    async def quota(self, host: str, span_s: float) -> None:
        """A process runs for a share of each CPU quota period."""
        incarnation = self.world.stores[host].incarnation if host in self.world.stores else None
        if incarnation is not None and self._may_lose(host, span_s):
            incarnation.quota = self.random.choice([0.2, 0.5, 0.8])
            await asyncio.sleep(span_s)
            incarnation.quota = 1.0

    async def lose_answers(self, _host: str, span_s: float) -> None:
        """Packets are lost on all links."""
        self.world.network.loss = 0.05
        await asyncio.sleep(span_s)
        self.world.network.loss = 0.0

    # Changes of the set of machines

    def _new_host(self) -> str:
        self.spares += 1
        return f"n{self.spares}"

    async def replace(self, host: str, _span_s: float) -> None:
        """A machine is removed for good; an empty one starts a second later at another address."""
        if not self._may_lose(host, 1.0, disk=True):
            return
        new = self._new_host()
        self.world.remove(host)
        await asyncio.sleep(1.0)
        self._start_new(new)
        self.without_data.discard(host)
        self.without_data.add(new)
        self.budget.lose(new, self.world.now + self.world.start_s[1] + CATCH_UP_S)

    def _start_new(self, host: str) -> None:
        others = [other for other in sorted(self.world.stores) if self.world.stores[other].is_up]
        self.random.shuffle(others)
        self.world.seeds = tuple(self.random.sample([host, *others[:2]], len(others[:2]) + 1))
        self.world.start(host)

    async def add_spare(self, _host: str, _span_s: float) -> None:
        """An empty store machine is added."""
        if len(self.world.stores) < 6:
            self._start_new(self._new_host())

    async def retire(self, host: str, span_s: float) -> None:
        """A machine is decommissioned and removed; others lose their disks right after."""
        if len(self.world.stores) <= 2 * self.world.faults + 1 or host not in self.world.stores:
            return
        self.world.history.record_fault(self.world.now, f"retire {host}")
        if not await self.operator.retire(host, self.world.now + 10.0) or host not in self.world.stores:
            return
        self.world.remove(host)
        others = self._others(host)
        self.random.shuffle(others)
        for other in others[: self.world.faults]:
            if self._may_lose(other, span_s, disk=True):
                self.in_progress.append(
                    asyncio.ensure_future(self._stop_for(other, span_s, power=True, wipe=True))
                )

    async def change_seeds(self, _host: str, _span_s: float) -> None:
        """The settings files name other seeds."""
        hosts = sorted(self.world.stores)
        self.world.seeds = tuple(self.random.sample(hosts, min(3, len(hosts))))
        for store in self.world.stores.values():
            if store.machine is not None and store.is_awake:
                store.machine.update_seeds(self.world.seeds)

    async def front(self, _host: str, span_s: float) -> None:
        """A front is killed."""
        if not self.world.fronts:
            return
        front = self.world.fronts[self.random.choice(sorted(self.world.fronts))]
        if front.is_up:
            front.stop()
            await asyncio.sleep(span_s)
            front.start()
