"""Entries in flight to members: the send window, and resending."""

from crowwing.tier.replication import timing
from tests.tier.test_replication import HOSTS, quick_world


def test_more_entries_than_the_links_carry_wait_in_the_log_and_cause_no_election() -> None:
    world = quick_world(8, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    primary = world.primary()
    world.network.bytes_per_s = 2e6
    world.entry_bytes_sent = 0
    payloads = [f"{number}/" + "x" * 40_000 for number in range(100)]
    for payload in payloads:  # 4 MB to each of two members: 2 s at the links' bandwidth
        world.propose(payload)
    world.run_for(1.0)
    assert 30 <= sum(done in world.acknowledged for done in payloads) < 100
    world.run_for(2.0)
    assert all(payload in world.acknowledged for payload in payloads)
    assert world.primary() == primary, "heartbeats must not queue behind data"
    assert world.entry_bytes_sent <= 2 * 1.05 * sum(len(payload) for payload in payloads), "sent only once"


def test_a_member_is_sent_no_more_than_its_window_without_an_acknowledgement() -> None:
    world = quick_world(9, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    primary = world.primary()
    frozen = next(host for host in HOSTS if host != primary)
    world.freeze(frozen, 0.3)
    world.entry_bytes_sent = 0
    for number in range(100):
        world.propose(f"{number}/" + "x" * 40_000)
    world.run_for(0.2)
    each = timing.SEND_WINDOW_BYTES + 2 * timing.MAX_APPEND_BYTES
    assert world.entry_bytes_sent <= each + 100 * 40_010, "the frozen member gets one window"
    world.run_for(3.0)
    assert len(world.acknowledged) == 101


def test_a_lost_append_response_is_requested_again() -> None:
    world = quick_world(10, HOSTS, HOSTS)
    world.stabilize()
    world.acknowledge("first")
    primary = world.primary()
    member = next(host for host in HOSTS if host != primary)
    world.partition([member], [primary], one_way=True)
    world.propose("second")
    world.run_for(0.05)
    world.heal()
    world.run_for(1.0)
    assert "second" in world.acknowledged and world.primary() == primary
    assert world.members() == set(HOSTS)
