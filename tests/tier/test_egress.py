"""The egress pacer of a machine's link, in simulated time."""

import asyncio
import itertools
from collections.abc import Coroutine
from random import Random
from typing import Any

import pytest

from crowwing.tier.clock import Clock
from crowwing.tier.wire.egress import BULK_SHARE, BURST_S, BYTES_PER_MEGABIT, MAX_RESPONSE_WAIT_S, EgressPacer
from crowwing.tier.wire.paced_flow import MAX_TRANSPORT_BYTES, SMALL_RESPONSE_BYTES, Chunk, PacedFlow
from crowwing.tier.wire.traffic import BULK_CLASSES, TrafficClass, classify_as_control
from tests.tier.simulation.loop import SimulatedLoop

LINK_MBPS = 120.0
LINK_BYTES_PER_S = LINK_MBPS * BYTES_PER_MEGABIT
KILOBYTE = 1024
CONTROL_BYTES = 300
CONTROL_INTERVAL_S = 0.07
MAX_CONTROL_DELAY_S = 0.03  # tens of milliseconds, far below the time-out of 0.4 s

CONTROL, REPLICATION = TrafficClass.CONTROL, TrafficClass.REPLICATION
RESPONSE, CATCH_UP = TrafficClass.RESPONSE, TrafficClass.CATCH_UP


class Link:
    """The FIFO link shared by all connections of a machine."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self.loop = loop
        self.idle_at = 0.0
        self.bytes_sent = 0

    def send(self, length: int) -> float:
        """Returns when bytes written now have left the machine."""
        self.idle_at = max(self.loop.time(), self.idle_at) + length / LINK_BYTES_PER_S
        self.bytes_sent += length
        return self.idle_at


class FakeConnection:
    """A connection that records the bytes written to it and when they left the machine."""

    def __init__(self, link: Link, pacer: EgressPacer) -> None:
        self.link = link
        self.written = bytearray()
        self.chunks: list[tuple[float, int]] = []
        self.sent_at = 0.0
        self.stalled_bytes = 0  # in its own buffer while the peer does not read
        self.is_stalled = False
        self.flow: PacedFlow = pacer.open_flow(self._write, lambda: self.stalled_bytes)

    def _write(self, chunk: Chunk) -> None:
        self.written += chunk
        self.chunks.append((self.link.loop.time(), len(chunk)))
        if self.is_stalled:
            self.stalled_bytes += len(chunk)
        else:
            self.sent_at = self.link.send(len(chunk))


class PacerHarness:
    """A pacer with connections, in simulated time."""

    def __init__(self, connections: int) -> None:
        self.loop = SimulatedLoop()
        self.link = Link(self.loop)
        self.pacer = EgressPacer(LINK_MBPS, Clock(self.loop.time), classify_as_control)
        self.connections = [FakeConnection(self.link, self.pacer) for _ in range(connections)]

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        self.loop.run_until_complete(work)

    def timers(self) -> int:
        return len(self.loop._scheduled)


frame_numbers = itertools.count()


def frame(length: int) -> bytes:
    """Returns a unique frame."""
    return next(frame_numbers).to_bytes(8, "big") + bytes(length - 8)


async def offer(
    harness: PacerHarness,
    connections: list[FakeConnection],
    traffic_class: TrafficClass,
    rate: float,
    span_s: float,
) -> None:
    """Sends frames of random lengths at a rate in bytes per second on random connections."""
    random = Random(f"{traffic_class}/{rate}")
    until = harness.loop.time() + span_s
    while harness.loop.time() < until:
        length = random.randint(1, 250) * KILOBYTE
        random.choice(connections).flow.send(frame(length), traffic_class)
        await asyncio.sleep(length / rate)


async def send_control(
    harness: PacerHarness, connections: list[FakeConnection], span_s: float, delays: list[float]
) -> None:
    """Sends a heartbeat on every connection at each interval, and records the delay of each."""
    until = harness.loop.time() + span_s
    while harness.loop.time() < until:
        for connection in connections:
            connection.flow.send(frame(CONTROL_BYTES), CONTROL)
            delays.append(connection.sent_at - harness.loop.time())
        await asyncio.sleep(CONTROL_INTERVAL_S)


@pytest.mark.parametrize("load", [1, 2, 6, 20])
def test_control_traffic_leaves_within_tens_of_milliseconds_at_any_load(load: float) -> None:
    harness = PacerHarness(34)
    data, urgent = harness.connections[:17], harness.connections[17:]
    delays: list[float] = []

    async def work() -> None:
        rate = load * LINK_BYTES_PER_S / len(BULK_CLASSES)
        bulk = [offer(harness, data, traffic_class, rate, 5.0) for traffic_class in BULK_CLASSES]
        await asyncio.gather(*bulk, send_control(harness, urgent, 5.0, delays))

    harness.run(work())
    assert len(delays) > 1000
    assert max(delays) < MAX_CONTROL_DELAY_S
    if load > 1:
        assert harness.link.bytes_sent > 0.95 * BULK_SHARE * LINK_BYTES_PER_S * 5.0


def test_control_traffic_of_one_connection_waits_for_no_more_than_its_frame_in_progress() -> None:
    harness = PacerHarness(2)
    connection, other = harness.connections

    frames = [frame(KILOBYTE * KILOBYTE) for _ in range(4)]

    async def work() -> None:
        for one in frames:
            connection.flow.send(one, REPLICATION)
            other.flow.send(frame(KILOBYTE * KILOBYTE), REPLICATION)
        await asyncio.sleep(0.03)
        connection.flow.send(b"first", CONTROL)
        connection.flow.send(b"second", CONTROL)
        await asyncio.sleep(2.0)

    harness.run(work())
    assert connection.written == frames[0] + b"firstsecond" + b"".join(frames[1:])
    assert connection.flow.waiting_bytes == 0


def test_control_traffic_counts_towards_the_budget() -> None:
    harness = PacerHarness(2)

    async def work() -> None:
        control = asyncio.ensure_future(send_bytes_as_control())
        await offer(harness, harness.connections[1:], REPLICATION, 3 * LINK_BYTES_PER_S, 4.0)
        await control

    async def send_bytes_as_control() -> None:
        for _ in range(400):
            harness.connections[0].flow.send(frame(30_000), CONTROL)  # a fifth of the link
            await asyncio.sleep(0.01)

    harness.run(work())
    assert harness.link.bytes_sent <= BULK_SHARE * LINK_BYTES_PER_S * (4.0 + 2 * BURST_S)


def test_the_more_urgent_class_goes_first_and_none_starves() -> None:
    harness = PacerHarness(3)
    sent = dict.fromkeys(BULK_CLASSES, 0)

    async def work() -> None:
        offers = [
            offer(harness, [connection], traffic_class, 2 * LINK_BYTES_PER_S, 5.0)
            for connection, traffic_class in zip(harness.connections, BULK_CLASSES, strict=True)
        ]
        await asyncio.gather(*offers)
        for connection, traffic_class in zip(harness.connections, BULK_CLASSES, strict=True):
            sent[traffic_class] = len(connection.written)

    harness.run(work())
    total = sum(sent.values())
    assert sent[REPLICATION] / total == pytest.approx(0.5, abs=0.05)
    assert sent[RESPONSE] / total == pytest.approx(0.25, abs=0.05)
    assert sent[CATCH_UP] / total == pytest.approx(0.25, abs=0.05)


def test_catch_up_traffic_uses_the_full_rate_if_nothing_else_waits() -> None:
    harness = PacerHarness(1)

    async def work() -> None:
        for _ in range(200):
            harness.connections[0].flow.send(frame(256 * KILOBYTE), CATCH_UP)
            while harness.connections[0].flow.waiting_bytes:
                await asyncio.sleep(0.001)

    harness.run(work())
    elapsed_s = harness.connections[0].chunks[-1][0]
    assert len(harness.connections[0].written) / elapsed_s > 0.95 * BULK_SHARE * LINK_BYTES_PER_S


def test_two_lost_replicas_are_restored_within_their_bound_at_full_load() -> None:
    state_bytes, catch_up_s = 8_400_000, 6.0
    harness = PacerHarness(8)
    learners = harness.connections[:2]

    async def catch_up(connection: FakeConnection) -> None:
        while len(connection.written) < state_bytes:
            connection.flow.send(frame(128 * KILOBYTE), CATCH_UP)
            while connection.flow.waiting_bytes:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.005)  # the learner requests the next ranges

    async def work() -> None:
        load = [
            offer(harness, harness.connections[2:6], REPLICATION, 3 * LINK_BYTES_PER_S, catch_up_s),
            offer(harness, harness.connections[6:], RESPONSE, 3 * LINK_BYTES_PER_S, catch_up_s),
        ]
        running = asyncio.gather(*load)
        await asyncio.gather(*(catch_up(connection) for connection in learners))
        assert harness.loop.time() < catch_up_s
        await running

    harness.run(work())


def test_frames_of_one_class_keep_their_order_on_a_connection() -> None:
    harness = PacerHarness(3)
    random = Random(7)
    expected = {index: b"" for index in range(3)}

    async def work() -> None:
        for number in range(400):
            index = random.randrange(3)
            sent = number.to_bytes(2, "big") * random.randint(1, 40_000)
            expected[index] += sent
            harness.connections[index].flow.send(sent, REPLICATION)
            if random.random() < 0.2:
                await asyncio.sleep(random.random() * 0.03)
        await asyncio.sleep(5.0)

    harness.run(work())
    assert {index: connection.written for index, connection in enumerate(harness.connections)} == expected


def test_connections_take_turns_within_a_class() -> None:
    harness = PacerHarness(4)

    async def work() -> None:
        for _ in range(50):
            harness.connections[0].flow.send(frame(64 * KILOBYTE), REPLICATION)
        for connection in harness.connections[1:]:
            connection.flow.send(frame(64 * KILOBYTE), REPLICATION)
        await asyncio.sleep(0.06)

    harness.run(work())
    assert all(len(connection.written) == 64 * KILOBYTE for connection in harness.connections[1:])


def test_frames_of_a_closed_connection_are_dropped_and_the_others_go_on() -> None:
    harness = PacerHarness(2)
    closed, still_open = harness.connections

    async def work() -> None:
        for connection in harness.connections:
            for traffic_class in (REPLICATION, RESPONSE):
                for _ in range(20):
                    connection.flow.send(frame(100 * KILOBYTE), traffic_class)
        await asyncio.sleep(0.031)  # within a frame
        closed.flow.close()
        before = len(closed.written)
        closed.flow.send(b"late", CONTROL)
        closed.flow.send(frame(2000), REPLICATION)
        await asyncio.sleep(1.0)
        assert len(closed.written) == before
        assert closed.flow.waiting_bytes == 0

    harness.run(work())
    assert len(still_open.written) == 40 * 100 * KILOBYTE
    assert all(harness.pacer.waiting_bytes(traffic_class) == 0 for traffic_class in BULK_CLASSES)
    assert harness.timers() == 0


def test_a_connection_closed_during_a_write_does_not_affect_others() -> None:
    harness = PacerHarness(2)
    connection, other = harness.connections

    def write_and_close(_chunk: Chunk) -> None:
        flow.close()

    flow = harness.pacer.open_flow(write_and_close, lambda: 0)

    async def work() -> None:
        for one in (connection.flow, flow, other.flow):
            for _ in range(4):
                one.send(frame(200 * KILOBYTE), REPLICATION)
        await asyncio.sleep(1.0)

    harness.run(work())
    assert len(connection.written) == len(other.written) == 800 * KILOBYTE
    assert harness.pacer.waiting_bytes(REPLICATION) == 0


def test_a_peer_that_does_not_read_does_not_block_others() -> None:
    harness = PacerHarness(2)
    stalled, other = harness.connections
    stalled.is_stalled = True

    async def work() -> None:
        for _ in range(100):
            stalled.flow.send(frame(100 * KILOBYTE), REPLICATION)
            other.flow.send(frame(100 * KILOBYTE), REPLICATION)
        await asyncio.sleep(2.0)
        assert len(other.written) == 100 * 100 * KILOBYTE
        assert stalled.stalled_bytes < MAX_TRANSPORT_BYTES + BURST_S * LINK_BYTES_PER_S
        stalled.is_stalled, stalled.stalled_bytes = False, 0
        await asyncio.sleep(2.0)

    harness.run(work())
    assert len(stalled.written) == 100 * 100 * KILOBYTE


def test_a_frame_that_the_budget_covers_is_written_at_once_without_a_timer() -> None:
    harness = PacerHarness(1)
    connection = harness.connections[0]

    async def work() -> None:
        for _ in range(100):
            connection.flow.send(frame(64 * KILOBYTE), REPLICATION)
            assert connection.chunks[-1][0] == harness.loop.time()
            assert connection.flow.waiting_bytes == 0
            assert harness.timers() == 0
            await asyncio.sleep(0.01)

    harness.run(work())
    assert len(connection.chunks) == 100


def test_small_responses_are_not_delayed() -> None:
    harness = PacerHarness(2)

    async def work() -> None:
        for _ in range(20):
            harness.connections[0].flow.send(frame(100 * KILOBYTE), RESPONSE)
        harness.connections[1].flow.send(frame(SMALL_RESPONSE_BYTES), RESPONSE)
        assert len(harness.connections[1].written) == SMALL_RESPONSE_BYTES

    harness.run(work())


def test_an_expired_response_is_dropped() -> None:
    harness = PacerHarness(1)

    async def work() -> None:
        for _ in range(40):
            harness.connections[0].flow.send(frame(KILOBYTE * KILOBYTE), RESPONSE)
        await asyncio.sleep(5.0)

    harness.run(work())
    frames, rest = divmod(len(harness.connections[0].written), KILOBYTE * KILOBYTE)
    assert rest == 0  # never a part of a frame
    assert harness.connections[0].chunks[-1][0] < MAX_RESPONSE_WAIT_S + 0.1
    sent_in_time = harness.pacer.bulk_bytes_per_s * (MAX_RESPONSE_WAIT_S + 0.1) / KILOBYTE**2
    assert frames <= sent_in_time + 1
    assert harness.pacer.waiting_bytes(RESPONSE) == harness.connections[0].flow.waiting_bytes == 0


def test_only_one_catch_up_message_per_learner_is_queued() -> None:
    harness = PacerHarness(1)

    async def work() -> None:
        for _ in range(30):
            harness.connections[0].flow.send(frame(KILOBYTE * KILOBYTE), REPLICATION)
        for _ in range(20):
            harness.connections[0].flow.send(frame(256 * KILOBYTE), CATCH_UP)
            await asyncio.sleep(0.005)
        assert harness.pacer.waiting_bytes(CATCH_UP) <= 256 * KILOBYTE

    harness.run(work())


def test_a_retransmitted_frame_is_queued_once() -> None:
    harness = PacerHarness(2)
    repeated, other = frame(500 * KILOBYTE), frame(500 * KILOBYTE)

    async def work() -> None:
        harness.connections[1].flow.send(frame(KILOBYTE * KILOBYTE), REPLICATION)
        for _ in range(3):
            for one in (repeated, other):
                for connection in harness.connections:
                    connection.flow.send(one, REPLICATION)
        await asyncio.sleep(1.0)
        assert harness.connections[0].written == repeated + other
        assert len(harness.connections[1].written) == 2024 * KILOBYTE
        harness.connections[0].flow.send(repeated, REPLICATION)  # not queued any more, so it is sent again
        await asyncio.sleep(1.0)
        assert harness.connections[0].written == repeated + other + repeated

    harness.run(work())
