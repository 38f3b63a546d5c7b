"""Answers commands, where this store machine is the primary."""

import asyncio
import logging
from typing import Any

from crowwing.tier.configuration import Configuration, parse_configuration
from crowwing.tier.distribution.documents import CONFIGURATION, Document, Documents
from crowwing.tier.replication.replica_state import Role
from crowwing.tier.settings import MEGABYTE, Settings
from crowwing.tier.state import events
from crowwing.tier.state.views import TierState
from crowwing.tier.store import commands, decisions
from crowwing.tier.store.batch_job_readers import BatchJobReaders
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.item_leasing import ItemLeasing
from crowwing.tier.store.node import Decide, ReplicaNode
from crowwing.tier.wire.connection_pool import ConnectionPool
from crowwing.tier.wire.errors import CallError

log = logging.getLogger("crowwing.store")

FORWARD_S = 3.5
KEEP_MARGIN_S = 30.0  # beyond statusS, for clocks that differ
HOUSEKEEPING_S = 0.5
GIVE_UP_MARGIN_S = 5.0  # beyond maxWaitS, for clocks that differ


class StoreService:
    """The commands of one store machine."""

    def __init__(
        self,
        settings: Settings,
        node: ReplicaNode,
        disk: Disk,
        connections: ConnectionPool,
        documents: Documents,
    ) -> None:
        self._settings, self._node, self._disk, self._connections = settings, node, disk, connections
        self._documents, self._clock = documents, node.clock
        self.leasing = ItemLeasing(node, lambda: self.configuration)
        self._readers = BatchJobReaders()
        self._parsed: tuple[int, Configuration | None] = (0, None)
        self._unpublished: list[tuple[int, Document]] = []  # with the index that must be committed first
        node.on_role.append(self._role_changed)
        node.on_commit.append(self._committed)

    def _role_changed(self, is_primary: bool) -> None:
        self._unpublished.clear()
        self._readers.role_changed()
        if is_primary:  # at this moment the whole log is committed
            self.leasing.became_primary()
            state = self._node.state
            if state.configuration is not None:
                self._documents.offer(Document(CONFIGURATION, (state.version,), state.configuration))

    def _committed(self, index: int) -> None:
        while self._unpublished and self._unpublished[0][0] <= index:
            self._documents.offer(self._unpublished.pop(0)[1])
        self.leasing.committed(index)
        self._readers.committed(index)

    def _put_configuration(self, state: TierState, command: commands.PutConfiguration) -> decisions.Decision:
        decision = decisions.put_configuration(state, command)
        for event in decision.events:
            document = Document(CONFIGURATION, (event.version,), event.text)
            self._unpublished.append((self._node.replica.log.last[1] + 1, document))
        return decision

    def _submit_batch_job(self, state: TierState, command: commands.SubmitBatchJob) -> decisions.Decision:
        decision = decisions.submit_batch_job(state, command, self._clock.now_ms(), self._disk_left())
        if decision.events:
            self.leasing.job_proposed(self._node.replica.log.last[1] + 1, command.job_id)
        return decision

    def _report_failure(self, state: TierState, command: commands.ReportItemFailure) -> decisions.Decision:
        decision = decisions.report_failure(state, command, self.configuration)
        if decision.events:
            self.leasing.release((command.job_id, command.item))
        return self._tell_readers(decision)

    def _tell_readers(self, decision: decisions.Decision) -> decisions.Decision:
        """Readers of the lots that the decision changes look again once it is committed."""
        first = self._node.replica.log.last[1] + 1
        for index, event in enumerate(decision.events, first):
            if isinstance(event, (events.ItemsCompleted, events.BatchJobEnded)):
                self._readers.changed(index, event.job_id)
        return decision

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration, parsed."""
        state = self._node.state
        if state.configuration is not None and self._parsed[0] != state.version:
            parsed = parse_configuration(state.configuration)
            self._parsed = (state.version, parsed if isinstance(parsed, Configuration) else None)
        return self._parsed[1]

    async def command(self, command: Any, may_forward: bool = True) -> Any:  # noqa: ANN401
        """Answers a command here, or passes it on to the primary once."""
        outcome = await self._answer(command)
        if not isinstance(outcome, commands.NotPrimary) or not may_forward:
            return outcome
        leader = outcome.leader
        if leader is None or leader == self._settings.ip:
            return outcome
        try:
            return await self._connections.call(leader, commands.ForwardedCommand(command), FORWARD_S)
        except CallError as error:
            return commands.Indeterminate(error.reason) if error.sent else commands.NotPrimary(None)

    async def _answer(self, command: Any) -> Any:  # noqa: ANN401
        decide, node = self._node.decide, self._node
        match command:
            case commands.PutConfiguration():
                return await decide(lambda state: self._put_configuration(state, command))
            case commands.GetConfiguration():
                return await self._read_surely(decisions.get_configuration)
            case commands.SubmitBatchJob():
                return await decide(lambda state: self._submit_batch_job(state, command))
            case commands.ReadBatchJob():
                return await self._read_batch_job(command)
            case commands.ReadItemBody():
                return await decide(lambda state: decisions.read_item_body(state, command))
            case commands.EndBatchJob():
                return await decide(lambda state: self._tell_readers(decisions.end_batch_job(state, command)))
            case commands.RetireStore():
                view = node.replica.view
                witnesses = view.witnesses if view else ()
                least = node.replica.min_witnesses
                return await decide(lambda state: decisions.retire(state, command, witnesses, least))
            case commands.ReadRetirement():
                return await self._read_surely(lambda state: self._retire_state(state, command.node))
            case commands.LeaseItemsRequest():
                return await self.leasing.lease(command)
            case commands.ReportItemResult():
                return await decide(lambda state: self._tell_readers(decisions.report_item(state, command)))
            case commands.ReportItemFailure():
                return await decide(lambda state: self._report_failure(state, command))
            case commands.RegisterStore():
                return await decide(lambda state: self._announce(state, command))
            case commands.GetStatus():
                return self._status()
        return commands.Rejected(400, f"unknown command {type(command).__name__}")

    async def _read_surely(self, decide: Decide) -> Any:  # noqa: ANN401
        """A read that no later primary can have overtaken, whatever the clocks do."""
        return await self._node.decide(decide, by_heartbeat=True)

    def _disk_left(self) -> bool:
        limit = self._settings.limits.disk_mb * MEGABYTE
        return not limit or self._disk.size < decisions.DISK_SHARE * limit

    def _retire_state(self, state: TierState, name: str) -> decisions.Decision:
        if name not in state.retired:
            return decisions.Decision((), commands.NotFound())
        view, host = self._node.replica.view, state.stores.get(name)
        assert view is not None
        gone = host not in view.members and host not in view.witnesses
        safe = len(view.members) >= self._node.replica.min_witnesses
        return decisions.Decision((), commands.RetirementStatus(gone and safe))

    @staticmethod
    def _announce(state: TierState, command: commands.RegisterStore) -> decisions.Decision:
        if state.stores.get(command.node) == command.host:
            return decisions.Decision((), commands.Done())
        return decisions.Decision((events.StoreRegistered(command.node, command.host),), commands.Done())

    async def _read_batch_job(self, command: commands.ReadBatchJob) -> Any:  # noqa: ANN401
        deadline = self._clock.monotonic() + command.wait_ms / 1000
        while True:
            job = self._node.state.jobs.get(command.job_id)
            waits = job is not None and len(job.results) <= command.start and not job.done
            left = deadline - self._clock.monotonic()
            if not waits or left <= 0 or self._node.replica.role is not Role.PRIMARY:
                return await self._node.decide(lambda state: decisions.read_batch_job(state, command))
            await self._readers.wait(command.job_id, left)

    async def run_housekeeping(self) -> None:
        """Announces this machine, and ends what is over."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            if self._node.state.stores.get(self._settings.node) != self._settings.ip:
                await self.command(commands.RegisterStore(self._settings.node, self._settings.ip))
            if self._node.replica.holds_lease(self._clock.monotonic()):
                await self._node.decide(self._clean)

    def _clean(self, state: TierState) -> decisions.Decision:
        """Drops lots that nobody may ask for any more, and gives up items that have waited too long."""
        ended: list[Any] = []
        now = self._clock.now_ms()
        configuration = self.configuration
        table = decisions.RoutingTable(configuration) if configuration is not None else None
        for job in state.jobs.values():
            age_s = (now - job.at_ms) / 1000
            if job.done and age_s > self._settings.bounds.status_s + KEEP_MARGIN_S:
                ended.append(events.BatchJobRemoved(job.id))
            elif not job.done and table is not None:
                route = table.find(job.host, job.path)
                wait = route.max_wait_s if route is not None else None
                if route is None or (wait is not None and age_s > wait + GIVE_UP_MARGIN_S):
                    dead = tuple(events.ItemResult(item, events.DEAD_LETTER, "") for item in job.open_items)
                    ended.append(events.ItemsCompleted(job.id, dead))
        return self._tell_readers(decisions.Decision(tuple(ended), commands.Done()))

    def _status(self) -> commands.StoreStatus:
        replica, state = self._node.replica, self._node.state
        view = replica.view
        return commands.StoreStatus(
            self._settings.node,
            replica.role.value,
            replica.promised,
            view.members if view else (),
            view.witnesses if view else (),
            replica.log.last[1],
            replica.commit_index,
            state.version,
            len(state.jobs),
            sum(len(job.open_items) for job in state.jobs.values()),
            dict(state.stores),
        )
