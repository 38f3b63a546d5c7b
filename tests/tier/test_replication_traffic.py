"""Log lines about replication traffic and view changes."""

import logging
import re

import pytest

from crowwing.tier.replication.messages import AppendRequest, Heartbeat, RangeDigests
from crowwing.tier.replication.terms import LOG_START, View
from crowwing.tier.store.replication_traffic import Purpose, SentTraffic
from tests.tier.simulation.world import World

TERM = (1, "m0")


def lines(caplog: pytest.LogCaptureFixture, event: str) -> list[str]:
    messages = [record.getMessage() for record in caplog.records if record.name == "crowwing.replication"]
    return [message for message in messages if message.startswith(f"{event} ")]


def field(line: str, name: str) -> float:
    found = re.search(rf"\b{name}=([0-9.]+)", line)
    assert found is not None, line
    return float(found[1])


def test_bytes_are_counted_by_what_they_are_sent_for() -> None:
    traffic = SentTraffic()
    traffic.count(AppendRequest(TERM, "m0", ()), 100, 2)
    traffic.count(RangeDigests(TERM, "m0", LOG_START, (), False), 30, 1)
    traffic.count(Heartbeat(TERM, "m0", 1, View(TERM, ("m0",), ("m0",))), 7, 3)
    taken = traffic.take()
    assert taken.sent_bytes == {Purpose.APPEND: 200, Purpose.CATCH_UP: 30, Purpose.CONTROL: 21}
    assert taken.sent_messages == {Purpose.APPEND: 2, Purpose.CATCH_UP: 1, Purpose.CONTROL: 3}
    assert not any(traffic.take().sent_bytes.values())


def test_the_primary_alone_logs_its_traffic_every_five_seconds(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "crowwing.replication")
    world = World(1, ("m0", "m1", "m2"))
    world.stabilize()
    world.run_for(5.0)
    caplog.clear()
    for number in range(50):
        world.propose(f"job-{number}")
        world.run_for(0.1)
    [line] = lines(caplog, "replication_traffic")
    assert field(line, "append_messages") >= 2 * 40 and field(line, "append_bytes") > 0
    assert field(line, "members") == 3 and field(line, "learners") == 0
    assert field(line, "control_messages") >= 2 * 60, "two receivers, one heartbeat every 0.07 s"


def test_a_machine_without_its_disk_shows_as_catching_up(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "crowwing.replication")
    world = World(1, ("m0", "m1", "m2"))
    world.stabilize()
    world.acknowledge("before")
    lost = next(host for host in sorted(world.stores) if host != world.primary())
    world.stop(lost, power=True, wipe=True)
    world.run_for(2.0)
    world.start(lost)
    world.run_for(8.0)
    assert sum(field(line, "catch_up_bytes") for line in lines(caplog, "replication_traffic")) > 0


def test_a_view_change_logs_its_phases_and_who_is_left_out(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "crowwing.replication")
    world = World(1, ("m0", "m1", "m2"))
    world.stabilize()
    world.run_for(2.0)
    caplog.clear()
    lost = next(host for host in sorted(world.stores) if host != world.primary())
    world.stop(lost, power=True)
    world.run_for(1.5)
    line = lines(caplog, "campaign_ended")[0]
    assert f"left_out={{'no promise': ['{lost}']}}" in line
    spans = [field(line, f"{phase}_s") for phase in ("prepare", "sync", "accept")]
    assert 0 < sum(spans) < 1.5
