"""Simulated elections after some machines have lost power and restarted."""

import asyncio

import pytest

from crowwing.tier.distribution.shuffles import Shuffler
from tests.tier.simulation.world import World

STORES = ("m0", "m1", "m2")
CATCH_UP_S = 6.0
ACK_S = 4.0  # ackMs of the small deployments
LOSSES = 4
SEEDS = range(8)


async def _never_shuffle(_: Shuffler) -> None:
    """Simulates a large fleet, where two given store machines seldom shuffle with each other."""
    await asyncio.Event().wait()


def longest_election_s(seed: int) -> float:
    """The longest time without a primary, over successive losses of the primary, each repaired."""
    world = World(seed, STORES)
    world.stabilize()
    world.run_for(CATCH_UP_S)
    longest_s = 0.0
    for _ in range(LOSSES):
        lost = world.primary()
        assert lost is not None
        world.stop(lost, power=True)
        began = world.now
        world.stabilize(2 * ACK_S)
        longest_s = max(longest_s, world.now - began)
        world.run_for(CATCH_UP_S)
        world.start(lost)
        world.run_for(CATCH_UP_S)
    return longest_s


def test_no_election_waits_for_a_message_lost_on_a_connection_from_before_a_restart(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Shuffler, "run", _never_shuffle)
    too_long = {seed: span_s for seed in SEEDS if (span_s := longest_election_s(seed)) >= ACK_S}
    assert not too_long, f"seconds without a primary, by seed: {too_long}"
