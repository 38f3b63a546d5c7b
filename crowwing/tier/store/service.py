"""Answers commands, where this store machine is the primary."""

import asyncio
import logging
from typing import Any

from crowwing.tier.configuration import Configuration, parse_configuration
from crowwing.tier.distribution.documents import CONFIGURATION, Document, Documents
from crowwing.tier.replication.replica_state import Role
from crowwing.tier.settings import MEGABYTE, Settings
from crowwing.tier.state import events as e
from crowwing.tier.state.views import TierState
from crowwing.tier.store import commands as c
from crowwing.tier.store import decisions as d
from crowwing.tier.store.disk import Disk
from crowwing.tier.store.item_leasing import ItemLeasing
from crowwing.tier.store.lot_readers import LotReaders
from crowwing.tier.store.node import Decide, ReplicaNode
from crowwing.tier.wire.connection import CallError, Links

log = logging.getLogger("crowwing.store")

FORWARD_S = 3.5
KEEP_MARGIN_S = 30.0  # beyond statusS, for clocks that differ
HOUSEKEEPING_S = 0.5
GIVE_UP_MARGIN_S = 5.0  # beyond maxWaitS, for clocks that differ


class StoreService:
    """The commands of one store machine."""

    def __init__(
        self, settings: Settings, node: ReplicaNode, disk: Disk, links: Links, documents: Documents
    ) -> None:
        self._settings, self._node, self._disk, self._links = settings, node, disk, links
        self._documents, self._clock = documents, node.clock
        self.leasing = ItemLeasing(node, lambda: self.configuration)
        self._readers = LotReaders()
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

    def _put_configuration(self, state: TierState, command: c.PutConfiguration) -> d.Decision:
        decision = d.put_configuration(state, command)
        for event in decision.events:
            document = Document(CONFIGURATION, (event.version,), event.text)
            self._unpublished.append((self._node.replica.log.last[1] + 1, document))
        return decision

    def _submit_lot(self, state: TierState, command: c.SubmitLot) -> d.Decision:
        decision = d.submit_lot(state, command, self._clock.now_ms(), self._disk_left())
        if decision.events:
            self.leasing.lot_proposed(self._node.replica.log.last[1] + 1, command.lot)
        return decision

    def _report_failure(self, state: TierState, command: c.ReportFailure) -> d.Decision:
        decision = d.report_failure(state, command, self.configuration)
        if decision.events:
            self.leasing.release((command.lot, command.item))
        return self._tell_readers(decision)

    def _tell_readers(self, decision: d.Decision) -> d.Decision:
        """Readers of the lots that the decision changes look again once it is committed."""
        first = self._node.replica.log.last[1] + 1
        for index, event in enumerate(decision.events, first):
            if isinstance(event, (e.ItemsEnded, e.LotEnded)):
                self._readers.changed(index, event.lot)
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
        if not isinstance(outcome, c.NotPrimary) or not may_forward:
            return outcome
        leader = outcome.leader
        if leader is None or leader == self._settings.ip:
            return outcome
        try:
            return await self._links.call(leader, c.Forwarded(command), FORWARD_S)
        except CallError as error:
            return c.Unsure(error.reason) if error.sent else c.NotPrimary(None)

    async def _answer(self, command: Any) -> Any:  # noqa: ANN401
        decide, node = self._node.decide, self._node
        match command:
            case c.PutConfiguration():
                return await decide(lambda state: self._put_configuration(state, command))
            case c.GetConfiguration():
                return await self._read_surely(d.get_configuration)
            case c.SubmitLot():
                return await decide(lambda state: self._submit_lot(state, command))
            case c.ReadLot():
                return await self._read_lot(command)
            case c.ReadBody():
                return await decide(lambda state: d.read_body(state, command))
            case c.EndLot():
                return await decide(lambda state: self._tell_readers(d.end_lot(state, command)))
            case c.Retire():
                view = node.replica.view
                witnesses = view.witnesses if view else ()
                least = node.replica.min_witnesses
                return await decide(lambda state: d.retire(state, command, witnesses, least))
            case c.ReadRetire():
                return await self._read_surely(lambda state: self._retire_state(state, command.node))
            case c.LeaseItems():
                return await self.leasing.lease(command)
            case c.ReportItem():
                return await decide(lambda state: self._tell_readers(d.report_item(state, command)))
            case c.ReportFailure():
                return await decide(lambda state: self._report_failure(state, command))
            case c.Announce():
                return await decide(lambda state: self._announce(state, command))
            case c.ShowStatus():
                return self._status()
        return c.Rejected(400, f"unknown command {type(command).__name__}")

    async def _read_surely(self, decide: Decide) -> Any:  # noqa: ANN401
        """A read that no later primary can have overtaken, whatever the clocks do."""
        return await self._node.decide(decide, by_round=True)

    def _disk_left(self) -> bool:
        limit = self._settings.limits.disk_mb * MEGABYTE
        return not limit or self._disk.size < d.DISK_SHARE * limit

    def _retire_state(self, state: TierState, name: str) -> d.Decision:
        if name not in state.retired:
            return d.Decision((), c.Missing())
        view, host = self._node.replica.view, state.stores.get(name)
        assert view is not None
        gone = host not in view.members and host not in view.witnesses
        safe = len(view.members) >= self._node.replica.min_witnesses
        return d.Decision((), c.RetireState(gone and safe))

    @staticmethod
    def _announce(state: TierState, command: c.Announce) -> d.Decision:
        if state.stores.get(command.node) == command.host:
            return d.Decision((), c.Done())
        return d.Decision((e.StoreSeen(command.node, command.host),), c.Done())

    async def _read_lot(self, command: c.ReadLot) -> Any:  # noqa: ANN401
        deadline = self._clock.monotonic() + command.wait_ms / 1000
        while True:
            lot = self._node.state.lots.get(command.lot)
            waits = lot is not None and len(lot.results) <= command.start and not lot.done
            left = deadline - self._clock.monotonic()
            if not waits or left <= 0 or self._node.replica.role is not Role.PRIMARY:
                return await self._node.decide(lambda state: d.read_lot(state, command))
            await self._readers.wait(command.lot, left)

    async def run_housekeeping(self) -> None:
        """Announces this machine, and ends what is over."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            if self._node.state.stores.get(self._settings.node) != self._settings.ip:
                await self.command(c.Announce(self._settings.node, self._settings.ip))
            if self._node.replica.holds_lease(self._clock.monotonic()):
                await self._node.decide(self._clean)

    def _clean(self, state: TierState) -> d.Decision:
        """Drops lots that nobody may ask for any more, and gives up items that have waited too long."""
        events: list[Any] = []
        now = self._clock.now_ms()
        configuration = self.configuration
        table = d.RoutingTable(configuration) if configuration is not None else None
        for lot in state.lots.values():
            age_s = (now - lot.at_ms) / 1000
            if lot.done and age_s > self._settings.bounds.status_s + KEEP_MARGIN_S:
                events.append(e.LotDropped(lot.id))
            elif not lot.done and table is not None:
                route = table.find(lot.host, lot.path)
                wait = route.max_wait_s if route is not None else None
                if route is None or (wait is not None and age_s > wait + GIVE_UP_MARGIN_S):
                    dead = tuple(e.Result(item, e.DEAD_LETTER, "") for item in lot.open_items)
                    events.append(e.ItemsEnded(lot.id, dead))
        return self._tell_readers(d.Decision(tuple(events), c.Done()))

    def _status(self) -> c.Status:
        replica, state = self._node.replica, self._node.state
        view = replica.view
        return c.Status(
            self._settings.node,
            replica.role.value,
            replica.promised,
            view.members if view else (),
            view.witnesses if view else (),
            replica.log.last[1],
            replica.commit_index,
            state.version,
            len(state.lots),
            sum(len(lot.open_items) for lot in state.lots.values()),
            dict(state.stores),
        )
