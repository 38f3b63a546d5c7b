"""Instances in one process share no state, and customers are matched by name in any order and number."""

import copy
import importlib
import inspect
import json
import pkgutil
import random
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import replace
from types import ModuleType

import pytest

import crowwing
from crowwing.contract import Halt, LoadSignal, Outcome
from crowwing.routing.request_resolver import RequestResolver
from crowwing.server_facts import decode
from tests.rig import MS, SETTINGS, World

PACKAGES = (
    "logic",
    "simulator_adapter",
    "program",
    "protocol",
    "routing",
    "transport",
)  # loaded in every backend or in the simulator adapter
MUTABLE_TYPES = (list, dict, set, bytearray, Counter, deque)


def modules() -> Iterator[ModuleType]:
    for package in PACKAGES:
        root = importlib.import_module(f"crowwing.{package}")
        yield root
        for found in pkgutil.iter_modules(root.__path__, f"{root.__name__}."):
            if not found.name.endswith("__main__"):
                yield importlib.import_module(found.name)
    yield importlib.import_module("crowwing.server_facts")
    yield importlib.import_module("crowwing.contract")


def shared() -> dict[str, str]:
    """The representations of all mutable objects that instances in one process share."""
    found: dict[str, str] = {}
    for module in modules():
        for name, value in vars(module).items():
            if name.startswith("__"):
                continue
            if isinstance(value, MUTABLE_TYPES):
                found[f"{module.__name__}.{name}"] = repr(value)
            if inspect.isclass(value) and value.__module__.startswith(crowwing.__name__):
                for inner, held in vars(value).items():
                    if isinstance(held, MUTABLE_TYPES) and not inner.startswith("_"):
                        found[f"{value.__qualname__}.{inner}"] = repr(held)
    return found


def workload(world: World, seed: int) -> Iterator[None]:
    """Runs a busy period in one simulated backend, one step per iteration."""
    chance = random.Random(seed)
    customers = max(1, len(world.facts.quotas))
    for _ in range(500):
        for _ in range(chance.randrange(3)):
            world.arrive(
                chance.randrange(len(world.facts.classes)), chance.random(), 0, chance.randrange(200 * MS),
                chance.choice([0, 3000 * MS]), chance.randrange(customers),
            )  # fmt: skip
        for ident, state in list(world.state.items()):
            if state == "running" and chance.random() < 0.1:
                world.end(ident, chance.choice([Outcome.GOOD, Outcome.GOOD, Outcome.FAILED]))
            elif state == "halting":
                world.end(ident, Outcome.STOPPED)
        world.turn()
        world.advance(10)
        yield


def worlds() -> list[World]:
    """Three deployments that differ in customers, quotas, signals and cores."""
    first = World(1, quotas=(30.0, 10.0), signal=LoadSignal.ALLOWANCE, cache_ttl=0)
    second = World(2, quotas=(), signal=LoadSignal.FLOOR, cores=2, halt=Halt.NONE)
    third = World(3, quotas=(5.0, 7.0, 900.0), signal=LoadSignal.WEIGHT, memory_kb=9000.0, cold=True)
    return [first, second, third]


def test_three_deployments_in_one_process_decide_as_each_does_alone() -> None:
    alone = worlds()
    for seed, world in enumerate(alone):
        for _ in workload(world, seed):
            pass
    together = worlds()
    turns = [workload(world, seed) for seed, world in enumerate(together)]
    chance = random.Random(9)
    while turns:
        turn = chance.choice(turns)
        if next(turn, turns) is turns:
            turns.remove(turn)
    for one, other in zip(alone, together, strict=True):
        assert one.log == other.log and one.figures == other.figures and len(one.log) > 200


def test_no_shared_state_changes_while_instances_run() -> None:
    before = shared()
    assert before, "no shared object was found"
    for seed, world in enumerate(worlds()):
        for _ in workload(world, seed):
            pass
    decode(json.dumps(SETTINGS))
    after = shared()
    assert {name: value for name, value in after.items() if value != before.get(name)} == {}


def test_no_default_argument_is_mutable() -> None:
    kept = []
    for module in modules():
        for value in vars(module).values():
            for part in [value, *(vars(value).values() if inspect.isclass(value) else ())]:
                if inspect.isfunction(part):
                    defaults = [*(part.__defaults__ or ()), *(part.__kwdefaults__ or {}).values()]
                    kept += [part.__qualname__ for held in defaults if isinstance(held, MUTABLE_TYPES)]
    assert kept == []


@pytest.mark.parametrize("order", [[0, 1, 2], [2, 0, 1], [1], []])
def test_indexes_follow_the_names_in_any_order_and_number(order: list[int]) -> None:
    names, shares = ["dock", "dock-east", "do"], [11.0, 22.0, 33.0]
    told = copy.deepcopy(SETTINGS)
    told["realms"] = [{"name": names[n], "quota_per_s": shares[n]} for n in order]
    told["lanes"] = [told["lanes"][n] | {"promise": 1000.0 * (n + 1)} for n in (2, 0, 1)]
    facts, known = decode(told)
    resolver = RequestResolver(known, facts)
    assert [facts.quotas[resolver.customers[names[n]]] for n in order] == [shares[n] for n in order]
    assert len(facts.quotas) == len(order) == len(resolver.customers)
    for n, lane in enumerate(SETTINGS["lanes"]):
        assert facts.classes[resolver.classes[lane["name"]]].latency_target == 1000 * MS * (n + 1)


def test_settings_decoded_twice_share_no_mutable_state() -> None:
    one, names = decode(SETTINGS)
    other, _ = decode(SETTINGS)
    assert one == other and hash(one) == hash(other) and hash(names)  # immutable throughout
    with pytest.raises(AttributeError):
        one.cores = 99
    assert replace(one, cores=99).cores == 99 and one.cores == other.cores
