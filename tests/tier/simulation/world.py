"""A simulated control plane in one process: store machines, fronts, faults, and invariants."""

import asyncio
from collections.abc import Callable, Iterable
from contextvars import Context
from random import Random
from typing import Any

from crowwing.tier.distribution.documents import Document
from crowwing.tier.replication import messages
from crowwing.tier.replication.core import Role
from crowwing.tier.replication.replica import Replica
from crowwing.tier.replication.terms import NO_TERM, Term
from crowwing.tier.replication.view_limits import ViewLimits
from crowwing.tier.state import events
from crowwing.tier.state.tier_state import TierState
from crowwing.tier.store import commands, outcomes
from crowwing.tier.store.decisions import Decision
from tests.tier.simulation.history import History
from tests.tier.simulation.loop import Incarnation, SimulatedLoop
from tests.tier.simulation.machines import START_S, START_TIME_MS, Front, Machine, Store
from tests.tier.simulation.network import SimulatedNetwork

FAR_MS = START_TIME_MS * 2


class InvariantError(AssertionError):
    """An invariant is violated."""


class TooLateError(AssertionError):
    """An expected event did not occur in time."""

    def __init__(self, seed: int, what: str, span_s: float) -> None:
        super().__init__(seed, what, span_s)

    def __str__(self) -> str:
        seed, what, span_s = self.args
        return f"seed {seed}: {what} in {span_s} s"


class World:
    """Machines, the network between them, and the invariants that are checked at each step of a machine."""

    def __init__(
        self,
        seed: int,
        hosts: Iterable[str],
        seeds: Iterable[str] | None = None,
        faults: int = 1,
        fronts: Iterable[str] = (),
        start_s: tuple[float, float] = START_S,
    ) -> None:
        """`hosts`: store machines, of which the seeds (by default the first three) make the first view."""
        self.seed, self.faults, self.start_s = seed, faults, start_s
        self.random = Random(seed)
        self.loop = SimulatedLoop()
        self.loop.on_exception = self._record_unexpected_error
        self.network = SimulatedNetwork(self.loop, Random(f"{seed}/network"))
        self.history = History()
        self.unexpected_errors: list[str] = []
        self.violations: list[str] = []
        self.disk_mb = 0
        self.list_version = 1
        self.list_read_s = 0.002  # response time of the platform
        self.list_reads: list[tuple[float, str]] = []
        # References, so that no task of an ended incarnation is collected, and so closed, during the run.
        self.incarnations: list[Incarnation] = []
        self.stores: dict[str, Store] = {}
        self.fronts: dict[str, Front] = {}
        hosts = tuple(hosts)
        self.seeds = tuple(seeds) if seeds is not None else hosts[:3]
        self.acknowledged: list[str] = []
        self.on_acknowledged: Callable[[str], None] = lambda _: None
        self.recorded_documents: dict[str, list[Document]] = {}
        self.checks_leases = True  # off in tests whose clock rates differ by more than leases tolerate
        self._highest_lease: Term = NO_TERM
        self._committed: dict[str, tuple[Term, int]] = {}
        self.chunks_sent = self.ranges_sent = self.entry_bytes_sent = 0
        self.chunk_transfer_s = 0.0
        self._link_free_at: dict[tuple[str, str], float] = {}
        for host in hosts:
            self.start(host, bootstrap=True)
        for host in fronts:
            self.fronts[host] = Front(self, host)
            self.fronts[host].start()

    def _record_unexpected_error(self, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None and not isinstance(error, (ConnectionError, TimeoutError)):
            self.unexpected_errors.append(f"{context.get('message')}: {error!r}")

    # Time

    @property
    def now(self) -> float:
        """Simulated seconds since the start."""
        return self.loop.time()

    def run_for(self, span_s: float) -> None:
        """Advances simulated time; raises InvariantError where an invariant was violated meanwhile."""
        self.run(asyncio.sleep(span_s))

    def run(self, work: Any) -> Any:  # noqa: ANN401
        """Advances simulated time until a coroutine outside all machines has ended; gives its result."""
        asyncio.set_event_loop(self.loop)
        try:
            outcome = self.loop.run_until_complete(work)
        finally:
            asyncio.set_event_loop(None)
        self.raise_violations()
        return outcome

    def raise_violations(self) -> None:
        """Raises InvariantError where an invariant was violated or a task ended with an unexpected error."""
        if self.violations:
            raise InvariantError(f"seed {self.seed}: " + "; ".join(self.violations[:3]))
        if self.unexpected_errors:
            raise InvariantError(f"seed {self.seed}: " + "; ".join(self.unexpected_errors[:3]))

    # Machines

    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.stores.values(), *self.fronts.values()]

    def start(self, host: str, bootstrap: bool = False) -> None:
        """Starts a store machine with what its disk holds."""
        store = self.stores.setdefault(host, Store(self, host))
        self.history.record_fault(self.now, f"start {host}")
        store.start(bootstrap and host in self.seeds)

    def stop(self, host: str, power: bool = False, wipe: bool = False) -> None:
        """Ends a store machine's process."""
        self.history.record_fault(self.now, f"stop {host} power={power} wipe={wipe}")
        self.stores[host].stop(power, wipe)

    def freeze(self, host: str, span_s: float) -> None:
        """Pauses a machine's process for a while; its clocks go on."""
        self.history.record_fault(self.now, f"freeze {host} {span_s:.3f}")
        self.stores[host].freeze(span_s)

    def remove(self, host: str) -> None:
        """Removes a machine for good, with its disk."""
        self.stop(host, power=True, wipe=True)
        del self.stores[host]

    def partition(
        self, some: Iterable[str], others: Iterable[str], one_way: bool = False, **how: bool
    ) -> None:
        """Partitions some machines from others, in both directions unless `one_way`."""
        some, others = sorted(some), sorted(others)
        self.history.record_fault(self.now, f"cut {some} {others} one_way={one_way} {how}")
        for a in some:
            for b in others:
                if a != b:
                    self.network.partition_link(a, b, **how)
                    if not one_way:
                        self.network.partition_link(b, a, **how)

    def heal(self) -> None:
        """Ends all partitions."""
        self.history.record_fault(self.now, "heal")
        self.network.heal()

    def replica(self, host: str) -> Replica | None:
        """The replica of a running store machine."""
        store = self.stores.get(host)
        return store.machine.node.replica if store is not None and store.machine is not None else None

    def state(self, host: str) -> TierState:
        """The folded state of a running store machine."""
        machine = self.stores[host].machine
        assert machine is not None
        return machine.node.state

    def replicas(self) -> dict[str, Replica]:
        """All replicas that run or are paused."""
        found = {host: self.replica(host) for host in sorted(self.stores)}
        return {host: replica for host, replica in found.items() if replica is not None}

    def holds_lease(self, host: str) -> bool:
        """Whether a store machine holds a lease, by its own clock."""
        replica = self.replica(host)
        return replica is not None and replica.holds_lease(self.stores[host].clock().monotonic())

    def primary(self) -> str | None:
        """The store machine that holds a lease and is awake."""
        for host in self.replicas():
            if self.holds_lease(host) and self.stores[host].is_awake:
                return host
        return None

    def members(self) -> set[str]:
        """The members of the view of whoever holds a lease."""
        primary = self.primary()
        replica = self.replica(primary) if primary is not None else None
        return set(replica.view.members) if replica is not None and replica.view is not None else set()

    def synchronized_members(self) -> set[str]:
        """Running members that have its data; a machine that lost its disk stays a member for a while."""
        synced = {host: replica.synced for host, replica in self.replicas().items()}
        primary = self.primary()
        replica = self.replica(primary) if primary is not None else None
        return {
            host for host in self.members() if replica is not None and synced.get(host) == replica.promised
        }

    @property
    def full_view(self) -> int:
        """The number of members of a view if there are enough machines."""
        return ViewLimits.for_faults(self.faults).max_replicas

    def witnesses(self) -> set[str]:
        """The witnesses of the same view."""
        primary = self.primary()
        replica = self.replica(primary) if primary is not None else None
        return set(replica.view.witnesses) if replica is not None and replica.view is not None else set()

    def retire(self, host: str) -> None:
        """Requests the decommissioning of a store machine."""
        primary = self.primary()
        assert primary is not None
        machine = self.stores[primary].machine
        assert machine is not None
        self.stores[primary].spawn(machine.service.execute(commands.RetireStore(f"node-{host}")))

    def fill_disk(self, host: str, span_s: float) -> None:
        """Makes writes to a disk fail for a while, as on a full one."""
        files = self.stores[host].files
        files.is_full = True
        self.loop.call_later(span_s, setattr, files, "is_full", False, context=Context())

    # Watching

    def watch(self, store: Store) -> None:
        """Checks the invariants after each step of a store machine, and counts what it sends."""
        assert store.machine is not None
        node, host = store.machine.node, store.host
        step, notify_all = node.step, node.connections.data.notify_all

        def watched_step() -> None:
            step()
            self.check(host, node.replica)

        def counted(hosts: Iterable[str], body: object) -> int:
            return self._count(host, list(hosts), body, notify_all)

        node.step = watched_step  # type: ignore[method-assign]
        node.connections.data.notify_all = counted  # type: ignore[method-assign]

    def _count(self, host: str, receivers: list[str], message: Any, send: Callable[..., int]) -> int:  # noqa: ANN401
        entries = getattr(message, "entries", ())
        self.entry_bytes_sent += len(receivers) * sum(len(entry.payload) for entry in entries)
        if isinstance(message, messages.RangesResponse):
            self.chunks_sent += len(receivers)
            self.ranges_sent += len(message.contents)
            if self.chunk_transfer_s:
                for receiver in receivers:
                    free = (
                        max(self.now, self._link_free_at.get((host, receiver), 0.0)) + self.chunk_transfer_s
                    )
                    self._link_free_at[host, receiver] = free
                    self.loop.call_at(free, send, [receiver], message)
                return 0  # sent later and not counted
        return send(receivers, message)

    def check(self, host: str, replica: Replica) -> None:
        """Checks that there is one lease at most, terms rise, and its holder has all acknowledged entries."""
        if not self.holds_lease(host):
            return
        for other in self.replicas():
            if other != host and self.holds_lease(other) and self.checks_leases:
                self._add_violation(f"{host} and {other} hold leases at once")
        if replica.promised < self._highest_lease and self.checks_leases:
            self._add_violation(
                f"{host} holds a lease under {replica.promised} after one under {self._highest_lease}"
            )
        if replica.promised > self._highest_lease:
            self._highest_lease = replica.promised
            jobs = self.state(host).jobs
            lost = [payload for payload in self.acknowledged if payload not in jobs]
            if lost:
                self._add_violation(f"{host} is primary without {lost[:3]}")
        self._check_members(host, replica)

    def _check_members(self, host: str, replica: Replica) -> None:
        """Checks that each member that has run since the view began has all committed entries."""
        seen = (replica.promised, replica.commit_index)
        if self._committed.get(host) == seen or replica.view is None:
            return
        self._committed[host] = seen
        for member in replica.view.members:
            other = self.replica(member)
            if other is None or other.started_at > replica.active_since or member == host:
                continue
            if other.log.last[1] < replica.commit_index and other.recovered:
                self._add_violation(f"{host} committed {replica.commit_index} that member {member} lacks")

    def _add_violation(self, what: str) -> None:
        self.violations.append(f"{self.now:.3f}: {what}")

    def record_document(self, host: str, document: Document) -> None:
        """Records a newer document that a front has received."""
        self.recorded_documents.setdefault(host, []).append(document)

    # Entries without clients, for tests of replication

    def propose(self, payload: str) -> bool:
        """Proposes a job with this id at a machine with the primary role; False if there is none."""
        for host, replica in self.replicas().items():
            store = self.stores[host]
            if replica.role is Role.PRIMARY and store.is_awake:
                store.spawn(self._propose(store, payload))
                return True
        return False

    async def _propose(self, store: Store, payload: str) -> None:
        assert store.machine is not None
        event = events.BatchJobAccepted(payload, "h", "/", (), FAR_MS)

        def decide(state: TierState) -> Decision:
            return Decision(() if payload in state.jobs else (event,), outcomes.Done())

        outcome = await store.machine.node.decide(decide)
        if isinstance(outcome, outcomes.Done):
            self.acknowledged.append(payload)
            self.on_acknowledged(store.host)

    def is_acknowledged(self, prefix: str) -> bool:
        """Whether a payload with this prefix was acknowledged."""
        return any(done.startswith(prefix) for done in self.acknowledged)

    def job_digests(self, host: str) -> dict[str, bytes]:
        """The digests of a store machine's batch jobs, by id."""
        return {job.id: job.digest for job in self.state(host).jobs.values()}

    def stabilize(self, span_s: float = 3.0) -> None:
        """Advances time until there is a primary."""
        for _ in range(int(span_s / 0.1)):
            self.run_for(0.1)
            if self.primary() is not None:
                return
        raise TooLateError(self.seed, "no primary", span_s)

    def acknowledge(self, payload: str, span_s: float = 3.0) -> None:
        """Proposes a payload repeatedly until it is acknowledged."""
        for number in range(int(span_s / 0.2)):
            self.propose(f"{payload}/{number}")
            self.run_for(0.2)
            if self.is_acknowledged(payload):
                return
        raise TooLateError(self.seed, f"{payload!r} was not acknowledged", span_s)

    def close(self) -> None:
        """Ends all processes."""
        for machine in self.machines():
            machine.stop(power=True)
