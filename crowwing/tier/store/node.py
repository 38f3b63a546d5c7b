"""Runs one replica on a clock, a disk and a network."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import groupby
from random import Random
from typing import Any

from crowwing.tier.clock import SYSTEM_CLOCK, Clock
from crowwing.tier.replication.messages import (
    AppendRequest,
    Message,
    RangeDigests,
    RangesResponse,
    Record,
    SyncRequest,
)
from crowwing.tier.replication.replica import Replica
from crowwing.tier.replication.replica_state import Output, Role
from crowwing.tier.startup import started_at
from crowwing.tier.state.views import TierState
from crowwing.tier.storage.errors import StorageError
from crowwing.tier.store import commands
from crowwing.tier.store.decisions import Decision
from crowwing.tier.store.disk import Disk
from crowwing.tier.wire.codec import encode
from crowwing.tier.wire.connection_pool import ConnectionPool

log = logging.getLogger("crowwing.store")

TICK_S = 0.02
DISK_RETRY_S = 0.4  # between rewritings of a disk that has failed
DISK_STALLED_S = 0.6  # a write under way for so long
SYNC_SMOOTHING = 0.3  # part of the newest write in the smoothed time of one
READ_LIMIT_S = 1.5
COMMIT_LIMIT_S = 3.0

DATA_MESSAGES = (AppendRequest, SyncRequest, RangeDigests, RangesResponse)  # which can be long

Decide = Callable[[TierState], Decision]


@dataclass
class Pending:
    """An outcome that waits until the log is committed up to an index."""

    index: int
    future: asyncio.Future[bool] = field(repr=False)


class ReplicaNode:
    """One replica with its disk and its links; asks the replica for decisions and carries them out."""

    def __init__(
        self,
        me: str,
        seeds: tuple[str, ...],
        faults: int,
        disk: Disk,
        connections: ConnectionPool,
        random: Random,
        urgent_connections: ConnectionPool | None = None,
        clock: Clock = SYSTEM_CLOCK,
        started: float = started_at,
    ) -> None:
        """`urgent_links`: connections of their own for heartbeats and votes, which wait behind no data.

        `started`: when this process began, on the monotonic clock.
        """
        self.clock = clock
        self.state = TierState()
        now = self.clock.monotonic()
        self.replica = Replica(me, seeds, self.state, faults, now, random.random, started)
        self._disk, self._connections = disk, connections
        self._urgent_connections = urgent_connections or connections
        self._pending: list[Pending] = []
        self._queue: list[Output] = []
        self._work = asyncio.Event()
        self.changed = asyncio.Event()  # replaced at each step that may matter to who waits
        self._was = Role.FOLLOWER
        self._seen: tuple[Role, int, float] | None = None  # role, commit index, last confirmation
        self._write_since: float | None = None
        self.disk_failed = False  # neither ticks nor receives until the disk takes a rewriting
        self.find_stores: Callable[[], Iterable[str]] = lambda: ()  # heard of by other ways
        self.on_role: list[Callable[[bool], None]] = []
        self.on_commit: list[Callable[[int], None]] = []

    def start(self, bootstrap: bool, bootstrap_members: tuple[str, ...]) -> None:
        """Takes in the disk, or starts anew; raises StorageError where the disk can't be opened."""
        records = self._disk.open()
        if records:
            self.replica.recover(records)
        elif bootstrap and self.replica.me in bootstrap_members:
            self.replica.bootstrap(bootstrap_members)
        self.step()

    async def run_clock(self) -> None:
        """Ticks the replica."""
        while True:
            if not self.disk_failed:
                self.replica.excluded = self.state.retired_hosts()
                self.replica.announced = frozenset(self.state.stores.values())
                self.replica.add_peers(self.find_stores())
                now = self.clock.monotonic()
                since = self._write_since
                self.replica.disk_stalled = since is not None and now - since >= DISK_STALLED_S
                self.replica.tick(self.clock.monotonic())
                self.step()
            await asyncio.sleep(TICK_S)

    async def run_disk(self) -> None:
        """Writes what has gathered, then sends what waited for it."""
        while True:
            await self._work.wait()
            self._work.clear()
            self.replica.send_entries(self.clock.monotonic())
            self.step()
            queue, self._queue = self._queue, []
            records = [record for output in queue for record in output.records]
            try:
                await self._keep(records)
            except StorageError as error:
                await self._wait_for_disk(error)
                continue
            for output in queue:
                self._deliver_all(output.durable)
            self.step()

    async def _keep(self, records: list[Record]) -> None:
        if not records:
            return
        is_long = self._disk.is_long(self.state.stored_bytes)
        compacted = self.replica.compacted() if is_long else None  # at this moment it holds just `records`
        self._write_since = began = self.clock.monotonic()
        try:
            await self._disk.write(records)
        finally:
            self._write_since = None
        taken = min(DISK_STALLED_S, self.clock.monotonic() - began)
        self.replica.sync_s += SYNC_SMOOTHING * (taken - self.replica.sync_s)
        if compacted is not None:
            log.info("rewrites %d bytes", self._disk.size)
            self._disk.begin_rewriting(compacted)

    async def _wait_for_disk(self, error: StorageError) -> None:
        """Takes no part until the disk holds all that memory does.

        No message that waited for the failed records is sent, so to the others this replica has stood still.
        """
        log.error("the disk failed, stands aside: %s", error)
        self.replica.resign(self.clock.monotonic(), "its disk failed")
        self.step()
        self.disk_failed = True
        while self.disk_failed:
            self._queue.clear()
            await asyncio.sleep(DISK_RETRY_S)
            try:
                await self._disk.rewrite(self.replica.compacted())
                self.disk_failed = False
            except StorageError as still:
                log.warning("the disk still fails: %s", still)
        log.info("the disk holds everything again, takes part")

    def transfer_leadership(self) -> None:
        """Asks another member to take over, where this replica is the primary."""
        self.replica.transfer_leadership(self.clock.monotonic())
        self.step()

    def receive(self, message: Message) -> None:
        """Takes a message of another replica in."""
        if not self.disk_failed:
            self.replica.receive(self.clock.monotonic(), message)
            self.step()

    def _deliver_all(self, messages: list[tuple[str, Message]]) -> None:
        """Delivers messages in order; one that goes to several receivers is encoded once."""
        for message, group in groupby(messages, key=lambda sent: sent[1]):
            receivers = [receiver for receiver, _ in group]
            if self.replica.me in receivers:
                self.replica.receive(self.clock.monotonic(), message)
                receivers.remove(self.replica.me)
            if receivers:
                connections = (
                    self._connections if isinstance(message, DATA_MESSAGES) else self._urgent_connections
                )
                connections.notify_all(receivers, message)

    def step(self) -> None:
        """Carries out what the replica asks for."""
        output = self.replica.take_output()
        self._deliver_all(output.immediate)
        if output.records or output.durable:
            self._queue.append(output)
            self._work.set()
        role, committed = self.replica.role, self.replica.commit_index
        confirmed = self.replica.confirmed_at
        if (role, committed, confirmed) == self._seen:
            return
        self._seen = (role, committed, confirmed)
        self._settle()
        self._tell_role(role)
        if role is Role.PRIMARY:
            for on_commit in self.on_commit:
                on_commit(committed)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _tell_role(self, role: Role) -> None:
        if role is Role.CANDIDATE:
            return
        if (role is Role.PRIMARY) != (self._was is Role.PRIMARY):
            for listener in self.on_role:
                listener(role is Role.PRIMARY)
        self._was = role

    def _settle(self) -> None:
        role, committed = self.replica.role, self.replica.commit_index
        if role is Role.CANDIDATE and self._was is Role.PRIMARY:
            return  # it may be the primary again in a moment, with the same log
        rest: list[Pending] = []
        for pending in self._pending:
            if pending.future.done():
                continue
            if role is not Role.PRIMARY:
                pending.future.set_result(False)
            elif pending.index <= committed:
                pending.future.set_result(True)
            else:
                rest.append(pending)
        self._pending = rest

    @property
    def leader(self) -> str | None:
        """The primary, as far as this replica knows."""
        return self.replica.leader

    async def _wait_primary(self) -> bool:
        """Waits out a change of its own view; False where this is not the primary."""
        deadline = self.clock.monotonic() + COMMIT_LIMIT_S
        while (
            self.replica.role is Role.CANDIDATE
            and self._was is Role.PRIMARY
            and self.clock.monotonic() < deadline
        ):
            await self._next_change(0.1)
        return self.replica.role is Role.PRIMARY

    async def _next_change(self, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self.changed.wait()
        except TimeoutError:
            pass

    async def decide(self, decide: Decide, by_heartbeat: bool = False) -> Any:  # noqa: ANN401
        """Decides a command on the newest state; its outcome is told once everything it rests on is kept.

        What changes nothing also waits until it is sure that no later primary had decided before it: by a
        lease, or with `by_round` by a round that starts after the decision, whatever the clocks do.
        """
        if not await self._wait_primary():
            return commands.NotPrimary(self.leader)
        now = self.clock.monotonic()
        decision = decide(self.state)
        for event in decision.events:
            self.replica.propose(now, encode(event))
        index = self.replica.log.last[1]
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending.append(Pending(index, future))
        self.step()
        self._settle()
        try:
            async with asyncio.timeout(COMMIT_LIMIT_S):
                committed = await future
        except TimeoutError:
            committed = False
        if not committed:
            return commands.Indeterminate("the store machines did not agree in time")
        if decision.events:
            return decision.outcome
        if not await (self.confirm_by_heartbeat() if by_heartbeat else self.confirm()):
            return commands.Indeterminate("it is not known whether this machine still decides")
        return decision.outcome

    async def confirm(self) -> bool:
        """Whether this replica is still the only primary, shown by a lease or a round that starts now."""
        if self.replica.holds_lease(self.clock.monotonic()):
            return True
        return await self.confirm_by_heartbeat()

    async def confirm_by_heartbeat(self) -> bool:
        """Whether a majority of the witnesses still knows this replica as primary at this moment."""
        if self.replica.role is not Role.PRIMARY:
            return False
        term, number = self.replica.promised, self.replica.start_heartbeat(self.clock.monotonic())
        self.step()
        deadline = self.clock.monotonic() + READ_LIMIT_S
        while self.clock.monotonic() < deadline:
            if self.replica.role is not Role.PRIMARY or self.replica.promised != term:
                return False
            if self.replica.is_heartbeat_confirmed(number):
                return True
            await self._next_change(0.1)
        return False
