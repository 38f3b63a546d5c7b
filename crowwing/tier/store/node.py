"""Runs one replica with its clock, disk and connections, and decides commands on its state."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from crowwing.tier.replication.core import Role
from crowwing.tier.replication.messages import Message
from crowwing.tier.replication.replica import Replica, ReplicaSettings
from crowwing.tier.state.tier_state import TierState
from crowwing.tier.storage.errors import StorageError
from crowwing.tier.store import outcomes
from crowwing.tier.store.decisions import Decision
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.disk_writer import DiskWriter
from crowwing.tier.store.environment import Environment
from crowwing.tier.store.message_sender import MessageSender, ReplicaConnections
from crowwing.tier.store.pending_decisions import PendingDecisions
from crowwing.tier.store.replication_traffic import TrafficLog
from crowwing.tier.store.role_notifier import RoleListener, RoleNotifier
from crowwing.tier.wire.codec import encode

log = logging.getLogger("crowwing.store")

TICK_INTERVAL_S = 0.02
READ_TIMEOUT_S = 1.5  # for the witnesses to confirm a read
COMMIT_TIMEOUT_S = 3.0  # for the members to commit a decision
CHANGE_POLL_INTERVAL_S = 0.1  # between checks of the replica while no step wakes the waiters

Decide = Callable[[TierState], Decision]


@dataclass(frozen=True)
class ReplicaIdentity:
    """Identifies a replica and its group.

    Attributes:
        address: The replica's own address.
        seeds: Addresses of replicas to contact at startup.
        faults: The number of machines that may fail at once.
    """

    address: str
    seeds: tuple[str, ...]
    faults: int


class ReplicaNode:
    """One replica with its disk and its connections; owned by `StoreMachine`.

    The replica itself does no I/O: after each message, tick or proposal, `step` processes its output. Records
    go to the disk writer, and `run_disk` sends the messages that depend on them after they are synced.

    Attributes:
        clock: The clocks of this incarnation.
        state: The replicated state, changed only by the replica.
        replica: The replica.
        discover_stores: Returns addresses and zones of store machines that are known from other sources.
        commit_listeners: Called on the primary with the commit index when it or the lease has changed.
    """

    def __init__(
        self, identity: ReplicaIdentity, disk: Disk, connections: ReplicaConnections, environment: Environment
    ) -> None:
        """Creates a replica that is idle until `start`, `run_clock` and `run_disk` are called."""
        self.clock = environment.clock
        self.connections = connections
        self.state = TierState()
        self.replica = Replica(
            ReplicaSettings(identity.address, identity.seeds, identity.faults),
            self.state,
            self.clock.monotonic(),
            environment.random.random,
            environment.started_at,
        )
        self._disk = disk
        self._writer = DiskWriter(self.replica, self.state, disk, self.clock)
        self._sender = MessageSender(identity.address, connections, self._receive_own)
        self._traffic_log = TrafficLog(self.replica, self._sender.traffic, self._buffered_bytes)
        self._pending = PendingDecisions()
        self._roles = RoleNotifier()
        self._changed = asyncio.Event()  # set and replaced at each step that may concern waiters
        self._last_seen: tuple[Role, int, float] | None = None  # role, commit index, last confirmation
        self.discover_stores: Callable[[], Mapping[str, str]] = dict
        self.commit_listeners: list[Callable[[int], None]] = []

    @property
    def role_listeners(self) -> list[RoleListener]:
        """Called when this replica becomes the primary or stops being it."""
        return self._roles.listeners

    @property
    def leader(self) -> str | None:
        """The primary, as far as this replica knows."""
        return self.replica.leader

    @property
    def disk_failed(self) -> bool:
        """Whether this replica is paused (no ticks, no messages) until its disk matches its memory again."""
        return self._writer.has_failed

    def start(self, bootstrap: bool, bootstrap_members: tuple[str, ...]) -> None:
        """Recovers from the disk; on an empty disk, bootstraps the group if the settings say so.

        Args:
            bootstrap: Whether to create the first view.
            bootstrap_members: The members of the first view.

        Raises:
            StorageError: The disk can't be opened.
        """
        records = self._disk.open()
        if records:
            self.replica.recover(records)
        elif bootstrap and self.replica.me in bootstrap_members:
            self.replica.bootstrap(bootstrap_members)
        self.step()

    async def run_clock(self) -> None:
        """Ticks the replica; runs until cancelled."""
        while True:
            if not self.disk_failed:
                self.replica.excluded = self.state.retired_hosts()
                self.replica.announced = frozenset(self.state.stores.values())
                self.replica.zones = {**self.replica.zones, **self.discover_stores()}
                self.replica.add_peers(self.replica.zones)
                self.replica.disk_stalled = self._writer.is_stalled(self.clock.monotonic())
                self.replica.tick(self.clock.monotonic())
                self.step()
            self._traffic_log.tick(self.clock.monotonic())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def run_disk(self) -> None:
        """Writes queued records in batches and then sends the dependent messages; runs until cancelled."""
        while True:
            await self._writer.wait_for_work()
            self.replica.send_entries(self.clock.monotonic())
            self.step()
            outputs = self._writer.take_queue()
            try:
                await self._writer.write(outputs)
            except StorageError as error:
                await self._recover_disk(error)
                continue
            for output in outputs:
                self._sender.deliver(output.durable)
            self.step()

    async def _recover_disk(self, error: StorageError) -> None:
        """Resigns, and pauses the replica until the disk holds everything that memory does."""
        log.error("disk_failed error=%r", str(error))
        self.replica.resign(self.clock.monotonic(), "its disk failed")
        self.step()
        await self._writer.recover()

    def _buffered_bytes(self) -> int:
        return self.connections.data.buffered_bytes + self.connections.urgent.buffered_bytes

    def transfer_leadership(self) -> None:
        """If this replica is the primary, asks another member to take over."""
        self.replica.transfer_leadership(self.clock.monotonic())
        self.step()

    def receive(self, message: Message) -> None:
        """Processes a message from another replica."""
        if not self.disk_failed:
            self.replica.receive(self.clock.monotonic(), message)
            self.step()

    def _receive_own(self, message: Message) -> None:
        """Processes a message of the replica to itself; the step that delivers it processes the output."""
        self.replica.receive(self.clock.monotonic(), message)

    def step(self) -> None:
        """Processes the replica's output, and notifies listeners and waiters of changes."""
        output = self.replica.take_output()
        self._sender.deliver(output.immediate)
        if output.records or output.durable:
            self._writer.enqueue(output)
        role, commit_index = self.replica.role, self.replica.commit_index
        seen = (role, commit_index, self.replica.confirmed_at)
        if seen == self._last_seen:
            return
        self._last_seen = seen
        self._resolve_pending()
        self._roles.notify(role)
        if role is Role.PRIMARY:
            for listener in self.commit_listeners:
                listener(commit_index)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _resolve_pending(self) -> None:
        role = self.replica.role
        if self._roles.is_changing_own_view(role):
            return  # it may soon be the primary again with the same log
        if role is Role.PRIMARY:
            self._pending.resolve(self.replica.commit_index)
        else:
            self._pending.abandon()

    async def _wait_until_primary(self) -> bool:
        """Waits until this primary has finished changing its own view; False if it is not the primary."""
        deadline = self.clock.monotonic() + COMMIT_TIMEOUT_S
        while self._roles.is_changing_own_view(self.replica.role) and self.clock.monotonic() < deadline:
            await self._wait_for_change()
        return self.replica.role is Role.PRIMARY

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(CHANGE_POLL_INTERVAL_S):
                await self._changed.wait()
        except TimeoutError:
            pass

    async def decide(self, decide: Decide, *, by_heartbeat: bool = False) -> outcomes.Outcome:
        """Decides a command on the newest state; returns once everything the outcome depends on is committed.

        A decision without events depends only on the state, which a newer primary may have changed already.
        Its outcome is therefore also delayed until this replica is confirmed as the only primary. A decision
        that does not depend on the state is returned at once.

        Args:
            decide: Makes the decision; called once, and only if this replica is the primary.
            by_heartbeat: Confirms the primary by a heartbeat started after the decision instead of by the
                lease, so that the result does not depend on clocks.

        Returns:
            The outcome, NotPrimary if nothing was done, or Indeterminate.
        """
        if not await self._wait_until_primary():
            return outcomes.NotPrimary(self.leader)
        now = self.clock.monotonic()
        decision = decide(self.state)
        if not decision.depends_on_state:
            return decision.outcome
        for event in decision.events:
            self.replica.propose(now, encode(event))
        if not await self._wait_until_committed(self.replica.log.last[1]):
            return outcomes.Indeterminate("the store machines did not agree in time")
        if decision.events:
            return decision.outcome
        if not await (self.confirm_by_heartbeat() if by_heartbeat else self.confirm()):
            return outcomes.Indeterminate("it is not known whether this machine still decides")
        return decision.outcome

    async def _wait_until_committed(self, index: int) -> bool:
        """Whether the log was committed up to an index under this primary within COMMIT_TIMEOUT_S."""
        committed = self._pending.add(index)
        self.step()
        self._resolve_pending()  # `step` skips this if nothing has changed, as for a read
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                return await committed
        except TimeoutError:
            return False

    async def confirm(self) -> bool:
        """Whether this replica is still the only primary, by its lease or by a new heartbeat."""
        if self.replica.holds_lease(self.clock.monotonic()):
            return True
        return await self.confirm_by_heartbeat()

    async def confirm_by_heartbeat(self) -> bool:
        """Whether a majority of the witnesses still accepts this replica as the primary.

        Only responses to a heartbeat started now count; earlier ones do not prove the present state.
        """
        if self.replica.role is not Role.PRIMARY:
            return False
        term = self.replica.promised
        sequence = self.replica.start_heartbeat(self.clock.monotonic())
        self.step()
        deadline = self.clock.monotonic() + READ_TIMEOUT_S
        while self.clock.monotonic() < deadline:
            if self.replica.role is not Role.PRIMARY or self.replica.promised != term:
                return False
            if self.replica.is_heartbeat_confirmed(sequence):
                return True
            await self._wait_for_change()
        return False
