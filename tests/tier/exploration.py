"""Exhaustive exploration of deliveries, losses and crashes: `python -m tests.tier.exploration`.

Starts from three members and a primary with a lease and one entry in flight. A step delivers one message,
syncs one disk, restarts one replica (which loses its unsynced records, or its disk), requests a transfer of
the leadership, proposes an entry, or lets time pass. In each state there is at most one lease, and its holder
has all committed entries. A message that is never delivered stands for a lost one.
"""

import argparse
import pickle
import sys
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from crowwing.tier.replication import messages
from crowwing.tier.replication.core import Role
from crowwing.tier.replication.output import Output
from crowwing.tier.replication.records import Record
from crowwing.tier.replication.replica import Replica, ReplicaSettings
from crowwing.tier.replication.terms import Term

HOSTS = ("a", "b", "c")
SHORT_S, LONG_S = 0.2, 0.5  # shorter than a lease, and longer than every time-out of a follower
START_S = 10.0


class ReplicatedList:
    """A minimal replicated state: a list of payloads in one range."""

    def __init__(self) -> None:
        self.payloads: list[bytes] = []

    def apply(self, payload: bytes, index: int) -> None:
        """Appends one payload."""
        self.payloads.append(payload)

    def freeze(self) -> Iterable[tuple[int, bytes]]:
        """The one range."""
        return [(0, pickle.dumps(self.payloads))]

    def range_of(self, payload: bytes) -> int:
        """The one range."""
        return 0

    def digests(self) -> tuple[bytes, ...]:
        """The digest of the one range."""
        return (pickle.dumps(self.payloads),)

    def dump_range(self, number: int) -> bytes:
        """The one range."""
        return pickle.dumps(self.payloads)

    def replace_ranges(self, contents: Mapping[int, bytes]) -> None:
        """The one range."""
        for content in contents.values():
            self.payloads = pickle.loads(content)


def constant_random() -> float:
    """Replaces the random source, so that runs are deterministic."""
    return 0.5


@dataclass
class Node:
    """One replica, its disk, and output that waits for the disk."""

    replica: Replica
    disk: list[Record] = field(default_factory=list)
    waiting: list[Output] = field(default_factory=list)


@dataclass
class State:
    """All replicas, the messages in flight, and the committed entries."""

    nodes: dict[str, Node]
    in_flight: list[tuple[str, messages.Message]]
    now: float
    committed: dict[int, Term] = field(default_factory=dict)
    crashes: int = 0
    wipes: int = 0
    transfers: int = 0
    proposals: int = 0
    waits: int = 0


@dataclass(frozen=True)
class Limits:
    """How often each kind of step may occur on a path."""

    crashes: int = 1
    wipes: int = 1
    transfers: int = 1
    proposals: int = 1
    waits: int = 3


class InvariantError(AssertionError):
    """An invariant does not hold in a state."""


def first_state() -> State:
    """A primary with a lease and one entry in flight."""
    state = State({}, [], START_S)
    for host in HOSTS:
        replica = Replica(ReplicaSettings(host, HOSTS, 1), ReplicatedList(), START_S - 5, constant_random)
        replica.bootstrap(HOSTS)
        state.nodes[host] = Node(replica)
        collect(state, host)
    state.nodes["a"].replica.start_campaign(state.now)
    for _ in range(40):
        for host in HOSTS:
            collect(state, host)
            sync(state, host)
        in_flight, state.in_flight = state.in_flight, []
        for to, message in in_flight:
            state.nodes[to].replica.receive(state.now, message)
            collect(state, to)
        if not in_flight:
            break
    propose(state, "a")
    assert state.nodes["a"].replica.holds_lease(state.now)
    return state


def collect(state: State, host: str) -> None:
    """Takes a replica's output: sends messages; records and what depends on them wait for the disk."""
    node = state.nodes[host]
    node.replica.send_entries(state.now)
    output = node.replica.take_output()
    for to, message in output.immediate:
        put_in_flight(state, to, message)
    if output.records or output.durable:
        node.waiting.append(output)


def put_in_flight(state: State, to: str, message: messages.Message) -> None:
    """Adds a message unless the same one is in flight."""
    if to in state.nodes and (to, message) not in state.in_flight:
        state.in_flight.append((to, message))


def sync(state: State, host: str) -> None:
    """Writes all waiting records to the disk, then sends the messages that depend on them."""
    node = state.nodes[host]
    waiting, node.waiting = node.waiting, []
    for output in waiting:
        node.disk += output.records
    for output in waiting:
        for to, message in output.durable:
            if to == host:
                node.replica.receive(state.now, message)
                collect(state, host)
            else:
                put_in_flight(state, to, message)


def restart(state: State, host: str, wiped: bool) -> None:
    """Ends a replica and starts it with what its disk holds."""
    node = state.nodes[host]
    node.waiting = []
    if wiped:
        node.disk = []
    node.replica = Replica(ReplicaSettings(host, HOSTS, 1), ReplicatedList(), state.now, constant_random)
    if node.disk:
        node.replica.recover(node.disk)
    collect(state, host)


def propose(state: State, host: str) -> None:
    """Proposes a client's entry."""
    state.nodes[host].replica.propose(state.now, b"entry %d" % state.proposals)
    state.proposals += 1
    collect(state, host)


def wait(state: State, span_s: float) -> None:
    """Advances the time and ticks all replicas."""
    state.now += span_s
    state.waits += 1
    for host in HOSTS:
        state.nodes[host].replica.tick(state.now)
        collect(state, host)


def steps(state: State, limits: Limits) -> Iterator[tuple[str, Any]]:
    """The possible next steps."""
    for position in range(len(state.in_flight)):
        yield "deliver", position
    for host in HOSTS:
        if state.nodes[host].waiting:
            yield "sync", host
    for host in HOSTS:
        yield from _steps_of_replica(state, limits, host)
    if state.waits < limits.waits:
        yield "wait", SHORT_S
        yield "wait", LONG_S


def _steps_of_replica(state: State, limits: Limits, host: str) -> Iterator[tuple[str, Any]]:
    """The possible next steps of one replica apart from deliveries and syncs."""
    if state.crashes < limits.crashes:
        yield "restart", host
    if state.wipes < limits.wipes:
        yield "wipe", host
    if state.nodes[host].replica.role is Role.PRIMARY:
        if state.transfers < limits.transfers:
            yield "transfer", host
        if state.proposals < limits.proposals:
            yield "propose", host


def carry_out(state: State, kind: str, what: Any) -> None:  # noqa: ANN401
    """Applies one step to a state."""
    match kind:
        case "deliver":
            to, message = state.in_flight.pop(what)
            state.nodes[to].replica.receive(state.now, message)
            collect(state, to)
        case "sync":
            sync(state, what)
        case "restart":
            state.crashes += 1
            restart(state, what, wiped=False)
        case "wipe":
            state.wipes += 1
            restart(state, what, wiped=True)
        case "transfer":
            state.transfers += 1
            state.nodes[what].replica.transfer_leadership(state.now)
            collect(state, what)
        case "propose":
            propose(state, what)
        case "wait":
            wait(state, what)


def check(state: State) -> None:
    """Raises InvariantError unless there is at most one lease and its holder has all committed entries."""
    leases = [host for host in HOSTS if state.nodes[host].replica.holds_lease(state.now)]
    if len(leases) > 1:
        raise InvariantError(f"{leases} hold leases at once")
    for host in HOSTS:
        replica = state.nodes[host].replica
        if replica.role is not Role.PRIMARY:
            continue
        for index, term in state.committed.items():
            entry = replica.log.at(index)
            if host in leases and (entry is None or entry.term != term):
                raise InvariantError(f"{host} leads without the committed entry {index}")
        for index in range(1, replica.commit_index + 1):
            entry = replica.log.at(index)
            if entry is not None:
                state.committed.setdefault(index, entry.term)


def explore(depth: int, max_states: int = 10**9, limits: Limits = Limits()) -> tuple[int, int]:
    """Visits every state up to a depth; gives their number and the completed depth."""
    frozen = pickle.dumps(first_state())
    seen = {hash(frozen)}
    level: list[tuple[bytes, tuple[str, ...]]] = [(frozen, ())]
    for done in range(depth):
        following: list[tuple[bytes, tuple[str, ...]]] = []
        for parent, path in level:
            for kind, what in list(steps(pickle.loads(parent), limits)):
                state = pickle.loads(parent)
                step = f"{kind} {what if kind != 'deliver' else _describe(state.in_flight[what])}"
                carry_out(state, kind, what)
                try:
                    check(state)
                except InvariantError as error:
                    raise InvariantError(f"{error} after {' / '.join((*path, step))}") from None
                child = pickle.dumps(state)
                if hash(child) not in seen:
                    seen.add(hash(child))
                    following.append((child, (*path, step)))
            if len(seen) >= max_states:
                return len(seen), done
        level = following
    return len(seen), depth


def _describe(sent: tuple[str, messages.Message]) -> str:
    return (
        f"{type(sent[1]).__name__} of {sent[1].sender} to {sent[0]}"
        if hasattr(sent[1], "sender")
        else str(sent)
    )


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--depth", type=int, default=6)
    parser.add_argument("--states", type=int, default=2_000_000, help="at most")
    options = parser.parse_args()
    states, depth = explore(options.depth, options.states)
    print(f"{states} states, every path of up to {depth} steps: no invariant violated")
    return 0


if __name__ == "__main__":
    sys.exit(main())
