"""Executes commands on this store machine if it is the primary, or forwards them to the primary."""

import asyncio
import logging

from crowwing.tier.distribution.documents import Documents
from crowwing.tier.replication.core import Role
from crowwing.tier.settings import MEGABYTE, Settings
from crowwing.tier.state import events
from crowwing.tier.state.tier_state import TierState
from crowwing.tier.store import commands, decisions, outcomes
from crowwing.tier.store.batch_job_readers import BatchJobReaders
from crowwing.tier.store.configuration_publisher import ConfigurationPublisher
from crowwing.tier.store.decisions import Decision
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.item_leasing import ItemLeasing
from crowwing.tier.store.node import Decide, ReplicaNode
from crowwing.tier.store.write_capacity import WriteCapacity
from crowwing.tier.wire.codec import wire_name
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.errors import CallError

log = logging.getLogger("crowwing.store")

FORWARD_TIMEOUT_S = 3.5
HOUSEKEEPING_INTERVAL_S = 0.5
RETENTION_MARGIN_S = 30.0  # added to the retention in the settings to allow for clock skew
MAX_DISK_SHARE = 0.7  # share of the disk's capacity above which jobs are rejected


class StoreService:
    """Executes the commands sent to one store machine; owned by `StoreMachine`.

    Called for requests from fronts and other store machines, and by the operator's API.
    """

    def __init__(
        self,
        settings: Settings,
        node: ReplicaNode,
        disk: Disk,
        connections: ConnectionPool,
        documents: Documents,
    ) -> None:
        """Creates the service and registers its listeners with the node.

        Args:
            settings: Name, address and limits of this machine.
            node: The replica that decides commands.
            disk: Its disk, whose usage limits the jobs that are accepted.
            connections: Connections to the other store machines.
            documents: Where committed configurations are published.
        """
        self._settings = settings
        self._node = node
        self._disk = disk
        self._connections = connections
        self._clock = node.clock
        self._publisher = ConfigurationPublisher(node.state, documents)
        self.leasing = ItemLeasing(node, lambda: self._publisher.configuration, connections.pacer)
        self._write_capacity = WriteCapacity(node.replica, connections.pacer)
        self._readers = BatchJobReaders()
        self._is_registered = False  # whether a primary has acknowledged the registration in this incarnation
        node.role_listeners.append(self._on_role_changed)
        node.commit_listeners.append(self._on_committed)

    # Notifications of the node

    def _on_role_changed(self, is_primary: bool) -> None:
        self._readers.on_role_changed()
        if is_primary:
            self.leasing.on_became_primary()
        self._publisher.on_role_changed(is_primary)

    def _on_committed(self, index: int) -> None:
        self._publisher.on_committed(index)
        self.leasing.on_committed(index)
        self._readers.on_committed(index)

    # Commands

    async def execute(self, command: commands.Command, *, may_forward: bool = True) -> outcomes.Outcome:
        """Executes a command and returns its outcome.

        Args:
            command: The command.
            may_forward: Whether it may be forwarded to the primary. A command is forwarded only once, since
                two machines that each take the other for the primary would forward it forever.
        """
        outcome = await self._execute_here(command)
        if not isinstance(outcome, outcomes.NotPrimary) or not may_forward:
            return outcome
        leader = outcome.leader
        if leader is None or leader == self._settings.ip:
            return outcome
        return await self._forward(command, leader)

    async def _forward(self, command: commands.Command, leader: str) -> outcomes.Outcome:
        request = commands.ForwardedCommand(command)
        try:
            response: outcomes.Outcome = await self._connections.call(leader, request, FORWARD_TIMEOUT_S)
        except CallError as error:
            return outcomes.Indeterminate(error.reason) if error.sent else outcomes.NotPrimary(None)
        return response

    async def _execute_here(self, command: commands.Command) -> outcomes.Outcome:
        if isinstance(command, commands.ItemCommand):
            return await self._execute_item_command(command)
        if isinstance(command, commands.BatchJobCommand):
            return await self._execute_job_command(command)
        if isinstance(command, commands.ConfigurationCommand):
            return await self._execute_configuration_command(command)
        if isinstance(command, commands.StoreCommand):
            return await self._execute_store_command(command)
        return unknown_command(command)

    async def _execute_item_command(self, command: commands.ItemCommand) -> outcomes.Outcome:
        match command:
            case commands.LeaseItemsRequest():
                return await self.leasing.lease(command)
            case commands.ReportItemResult():
                return await self._node.decide(lambda state: self._report_item(state, command))
            case commands.ReportItemFailure():
                return await self._node.decide(lambda state: self._report_failure(state, command))

    async def _execute_job_command(self, command: commands.BatchJobCommand) -> outcomes.Outcome:
        match command:
            case commands.SubmitBatchJob():
                return await self._node.decide(lambda state: self._submit_batch_job(state, command))
            case commands.ReadBatchJob():
                return await self._read_batch_job(command)
            case commands.ReadItemBody():
                return await self._node.decide(lambda state: decisions.read_item_body(state, command))
            case commands.EndBatchJob():
                return await self._node.decide(lambda state: self._end_batch_job(state, command))

    async def _execute_configuration_command(
        self, command: commands.ConfigurationCommand
    ) -> outcomes.Outcome:
        match command:
            case commands.PutConfiguration():
                return await self._node.decide(lambda state: self._put_configuration(state, command))
            case commands.GetConfiguration():
                return await self._read_linearizable(decisions.get_configuration)

    async def _execute_store_command(self, command: commands.StoreCommand) -> outcomes.Outcome:
        match command:
            case commands.RetireStore():
                return await self._retire_store(command)
            case commands.ReadRetirement():
                return await self._read_linearizable(lambda state: self._read_retirement(state, command))
            case commands.RegisterStore():
                return await self._node.decide(lambda state: decisions.register_store(state, command))
            case commands.GetStatus():
                return self._status()

    async def _read_linearizable(self, decide: Decide) -> outcomes.Outcome:
        """Executes a linearizable read: it sees all writes acknowledged before it, even if clocks drift."""
        return await self._node.decide(decide, by_heartbeat=True)

    # Configuration

    def _put_configuration(self, state: TierState, command: commands.PutConfiguration) -> Decision:
        decision = decisions.put_configuration(state, command)
        for event in decision.events:
            if isinstance(event, events.ConfigurationAccepted):
                self._publisher.on_accepted(self._next_index(), event)
        return decision

    # Batch jobs

    def _submit_batch_job(self, state: TierState, command: commands.SubmitBatchJob) -> Decision:
        decision = decisions.submit_batch_job(
            state,
            command,
            self._clock.now_ms(),
            self._has_disk_capacity(),
            self._write_capacity.has_capacity(),
        )
        if decision.events:
            self.leasing.on_job_proposed(self._next_index(), command.job_id)
        return decision

    def _has_disk_capacity(self) -> bool:
        capacity_bytes = self._settings.limits.disk_mb * MEGABYTE
        return not capacity_bytes or self._disk.size < MAX_DISK_SHARE * capacity_bytes

    async def _read_batch_job(self, command: commands.ReadBatchJob) -> outcomes.Outcome:
        """Waits up to the command's `wait_ms` for a result, and then reads."""
        deadline = self._clock.monotonic() + command.wait_ms / 1000
        while True:
            job = self._node.state.jobs.get(command.job_id)
            has_to_wait = job is not None and len(job.results) <= command.start and not job.done
            remaining_s = deadline - self._clock.monotonic()
            if not has_to_wait or remaining_s <= 0 or self._node.replica.role is not Role.PRIMARY:
                return await self._node.decide(lambda state: decisions.read_batch_job(state, command))
            await self._readers.wait(command.job_id, remaining_s)

    def _end_batch_job(self, state: TierState, command: commands.EndBatchJob) -> Decision:
        return self._notify_readers(decisions.end_batch_job(state, command))

    def _report_item(self, state: TierState, command: commands.ReportItemResult) -> Decision:
        return self._notify_readers(decisions.report_item(state, command))

    def _report_failure(self, state: TierState, command: commands.ReportItemFailure) -> Decision:
        decision = decisions.report_failure(state, command, self._publisher.configuration)
        if decision.events:
            self.leasing.release((command.job_id, command.item))
        return self._notify_readers(decision)

    def _notify_readers(self, decision: Decision) -> Decision:
        """Schedules the wake-up of readers of the jobs that a decision changes, once it is committed."""
        for index, event in enumerate(decision.events, self._next_index()):
            if isinstance(event, (events.ItemsCompleted, events.BatchJobEnded)):
                self._readers.on_job_changed(index, event.job_id)
        return decision

    def _next_index(self) -> int:
        """The log index of the first event of the decision in progress."""
        return self._node.replica.log.last[1] + 1

    # Store machines

    async def _retire_store(self, command: commands.RetireStore) -> outcomes.Outcome:
        replica = self._node.replica
        available = replica.available_replicas(self._clock.monotonic())
        min_witnesses = replica.limits.min_witnesses
        return await self._node.decide(
            lambda state: decisions.retire_store(state, command, available, min_witnesses)
        )

    def _read_retirement(self, state: TierState, command: commands.ReadRetirement) -> Decision:
        view = self._node.replica.view
        assert view is not None  # only called on a primary, which has a view
        min_members = self._node.replica.limits.min_witnesses
        return decisions.read_retirement(state, command.node, view.members, view.witnesses, min_members)

    def _status(self) -> outcomes.StoreStatus:
        replica = self._node.replica
        state = self._node.state
        view = replica.view
        return outcomes.StoreStatus(
            node=self._settings.node,
            role=replica.role.value,
            term=replica.promised,
            members=view.members if view is not None else (),
            witnesses=view.witnesses if view is not None else (),
            index=replica.log.last[1],
            commit=replica.commit_index,
            version=state.version,
            jobs=len(state.jobs),
            open_items=sum(len(job.open_items) for job in state.jobs.values()),
            stores=dict(state.stores),
        )

    # Housekeeping

    async def run_housekeeping(self) -> None:
        """Registers this machine and, on the primary, expires jobs; runs until cancelled."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            await self._register()
            if self._node.replica.holds_lease(self._clock.monotonic()):
                await self._node.decide(self._expire_jobs)

    async def _register(self) -> None:
        """Registers this machine with the primary; a spare's own state may not show its registration."""
        if self._is_registered or self._node.state.stores.get(self._settings.node) == self._settings.ip:
            return
        outcome = await self.execute(commands.RegisterStore(self._settings.node, self._settings.ip))
        self._is_registered = isinstance(outcome, outcomes.Done)

    def _expire_jobs(self, state: TierState) -> Decision:
        retention_s = self._settings.bounds.status_s + RETENTION_MARGIN_S
        configuration = self._publisher.configuration
        decision = decisions.expire_jobs(state, configuration, self._clock.now_ms(), retention_s)
        return self._notify_readers(decision)


def unknown_command(body: object) -> outcomes.Rejected:
    """Rejects a message from another machine that is not a command."""
    return outcomes.Rejected(400, f"unknown command {wire_name(type(body))}")
