"""The simulated network: all connections of a machine share its uplink."""

import asyncio
from random import Random

import pytest

from tests.tier.simulation.loop import Incarnation, SimulatedLoop, new_incarnation
from tests.tier.simulation.network import Endpoint, SimulatedNetwork

UPLINK_BYTES_PER_S = 1_000_000
PORT = 7000


class Machines:
    """One sender and two receivers, which record the time and size of what they receive."""

    def __init__(self) -> None:
        self.loop = SimulatedLoop()
        self.network = SimulatedNetwork(self.loop, Random(1))
        self.network.uplink_bytes_per_s = UPLINK_BYTES_PER_S
        self.sender = new_incarnation("sender", 1)
        self.received: dict[str, list[tuple[float, int]]] = {}
        for host in ("a", "b"):
            self._listen(new_incarnation(host, 1))

    def _listen(self, incarnation: Incarnation) -> None:
        arrivals = self.received.setdefault(incarnation.host, [])

        async def accept(reader: asyncio.StreamReader, _: object) -> None:
            while data := await reader.read(1_000_000):
                arrivals.append((self.loop.time(), len(data)))

        self.network.listen(incarnation, incarnation.host, PORT, accept)

    def connect(self, host: str) -> Endpoint:
        return self.loop.run_until_complete(self.network.connect(self.sender, host, PORT))[1]

    def run_for(self, span_s: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(span_s))


def test_bytes_to_one_machine_wait_behind_those_to_another() -> None:
    machines = Machines()
    long, short = machines.connect("a"), machines.connect("b")
    began = machines.loop.time()
    long.write(bytes(500_000))
    short.write(b"x")
    uplink = machines.network.uplink("sender")
    assert uplink.queued_bytes == 500_001 and uplink.wait_s == pytest.approx(0.5, abs=0.001)
    assert (long.get_write_buffer_size(), short.get_write_buffer_size()) == (500_000, 1)
    machines.run_for(1.0)
    [(arrived_at, _)] = machines.received["b"]
    assert arrived_at - began == pytest.approx(0.5, abs=0.01)
    assert uplink.queued_bytes == long.get_write_buffer_size() == 0


def test_queued_bytes_of_a_reset_connection_are_not_sent() -> None:
    machines = Machines()
    long, short = machines.connect("a"), machines.connect("b")
    began = machines.loop.time()
    for _ in range(10):
        long.write(bytes(50_000))
    short.write(b"x")
    long.abort()
    machines.run_for(1.0)
    [(arrived_at, _)] = machines.received["b"]
    assert arrived_at - began < 0.1 and not machines.received["a"]


def test_an_unbounded_uplink_delays_nothing() -> None:
    machines = Machines()
    machines.network.uplink_bytes_per_s = float("inf")
    endpoint = machines.connect("a")
    began = machines.loop.time()
    endpoint.write(bytes(5_000_000))
    machines.run_for(1.0)
    assert machines.received["a"][-1][0] - began < 0.01
