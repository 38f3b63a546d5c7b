"""Simulated runs of the relay tree with up to 165 fronts: capacity, attach requests and documents."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from crowwing.tier.distribution.children import FANOUT, Children
from crowwing.tier.distribution.documents import CONFIGURATION
from crowwing.tier.distribution.messages import AttachRedirect, AttachRequest, AttachResponse
from crowwing.tier.distribution.relay import Relay
from crowwing.tier.wire.connection import Connection
from tests.tier.simulation.clients import Operator
from tests.tier.simulation.machines import Machine, Store
from tests.tier.simulation.world import World

STORES = ("m0", "m1", "m2")
SETTLING_S = 6.0
SEEDS = range(3)
CONFIG_APPLY_S = 3.0  # the limit of the large deployments
MAX_ATTACH_REQUESTS_PER_S = 10.0  # per front, while no backend is connected to a root


def world_of(seed: int, fronts: int) -> World:
    """Creates a world and runs it until its relay tree is stable."""
    world = World(seed, STORES, fronts=[f"f{number}" for number in range(fronts)])
    world.stabilize()
    world.run_for(SETTLING_S)
    return world


def relay_of(machine: Machine) -> Relay | None:
    """Returns the relay of a machine, None if its process is not running."""
    if isinstance(machine, Store):
        return machine.machine.relay if machine.machine is not None else None
    relay: Relay | None = getattr(machine, "relay", None)
    return relay


def relays_of(world: World) -> dict[str, Relay]:
    """Returns the relays of all running machines, by address."""
    found = {machine.host: relay_of(machine) for machine in world.machines()}
    return {host: relay for host, relay in found.items() if relay is not None}


def children_of(relay: Relay) -> list[str]:
    """Returns the addresses of the children."""
    connections = relay.children._connections
    return [host for host, connection in connections.items() if not connection.is_closed]


def parent_of(relay: Relay) -> str | None:
    """Returns the address of the parent, None if there is none."""
    connection = relay.parent.connection
    return connection.remote if connection is not None and not connection.is_closed else None


def attached(world: World) -> set[str]:
    """Returns the machines that the root's heartbeats reach."""
    return {host for host, relay in relays_of(world).items() if relay.tracker.is_connected}


def transfer_leadership(world: World) -> None:
    """Makes another store machine the primary, and thereby the root."""
    primary = world.primary()
    assert primary is not None
    machine = world.stores[primary].machine
    assert machine is not None
    machine.transfer_leadership()


@contextmanager
def counted_attach_requests() -> Iterator[Counter[str]]:
    """Counts the attach requests by the address of the child."""
    counts: Counter[str] = Counter()
    original = Children.attach

    def attach(
        self: Children, connection: Connection, request: AttachRequest
    ) -> AttachResponse | AttachRedirect:
        counts[request.host] += 1
        return original(self, connection, request)

    Children.attach = attach  # type: ignore[method-assign]
    try:
        yield counts
    finally:
        Children.attach = original  # type: ignore[method-assign]


@pytest.mark.parametrize("seed", SEEDS)
def test_backends_that_have_left_a_parent_use_up_none_of_its_capacity(seed: int) -> None:
    world = world_of(seed, 40)
    for _ in range(6):
        transfer_leadership(world)
        world.run_for(3.0)
    relays = relays_of(world)
    former = [
        (host, child)
        for host, relay in relays.items()
        for child in children_of(relay)
        if child not in relays or parent_of(relays[child]) != host
    ]
    assert not former, f"seed {seed}: {len(former)} of {FANOUT * len(relays)} slots held by former children"


@pytest.mark.parametrize("seed", SEEDS)
def test_a_fleet_without_a_root_is_not_flooded_with_requests_to_attach(seed: int) -> None:
    world = world_of(seed, 60)
    for host in STORES[1:]:
        world.stop(host)
    world.run_for(3.0)
    assert world.primary() is None
    span_s = 5.0
    with counted_attach_requests() as counts:
        world.run_for(span_s)
    highest = max(counts[host] for host in world.fronts) / span_s
    assert highest <= MAX_ATTACH_REQUESTS_PER_S, f"seed {seed}: {highest:.0f} requests/s by one front"


@pytest.mark.parametrize("seed", SEEDS)
def test_all_backends_hear_a_new_root_soon_after_the_former_one_is_lost(seed: int) -> None:
    world = world_of(seed, 30)
    for _ in range(3):
        lost = world.primary()
        assert lost is not None
        world.stop(lost, power=True)
        world.stabilize()
        world.run_for(CONFIG_APPLY_S)
        missing = set(relays_of(world)) - attached(world)
        assert not missing, f"seed {seed}: {sorted(missing)} are disconnected"
        world.start(lost)
        world.run_for(SETTLING_S)


def change(world: World, operator: Operator) -> int:
    """Makes one change and returns its version."""

    async def work() -> int:
        change = operator.change(await operator.read_until_definite())
        assert await operator.put(change) == 200
        return change.version

    version: int = world.run(work())
    return version


def change_often(world: World, operator: Operator, times: int) -> None:
    """Makes several changes in sequence."""

    async def work() -> None:
        version = await operator.read_until_definite()
        for _ in range(times):
            step = operator.change(version)
            assert await operator.put(step) == 200
            version = step.version

    world.run(work())


def restart_fronts(world: World, hosts: list[str]) -> None:
    """Cuts the power of some fronts at the same time and restarts them one second later."""
    for host in hosts:
        world.fronts[host].stop(power=True)
    world.run_for(1.0)
    for host in hosts:
        world.fronts[host].start()


def assert_in_force_in_time(world: World, operator: Operator) -> None:
    """Makes a change and checks that all fronts have it after `CONFIG_APPLY_S`."""
    version = change(world, operator)
    world.run_for(CONFIG_APPLY_S)
    late = []
    for host, front in world.fronts.items():
        document = front.documents.get(CONFIGURATION) if front.documents is not None else None
        if document is None or document.version[0] < version:
            late.append(host)
    assert not late, f"version {version} is not in force at {late}"


def test_a_confirmed_configuration_is_in_force_at_165_fronts_in_time_whatever_restarts() -> None:
    world = world_of(1, 165)
    operator = Operator(world, "operator-a")
    assert_in_force_in_time(world, operator)
    change_often(world, operator, 200)
    assert_in_force_in_time(world, operator)
    restart_fronts(world, world.random.sample(sorted(world.fronts), 55))
    assert_in_force_in_time(world, operator)
    world.stop(str(world.primary()), power=True)
    assert_in_force_in_time(world, operator)
