"""Single steps of a replica that the safety arguments of docs/control-safety.md rely on."""

from typing import TypeVar

import pytest

from crowwing.tier.replication import messages, timing
from crowwing.tier.replication.campaign import Campaign, Phase
from crowwing.tier.replication.candidate import Candidate
from crowwing.tier.replication.records import AcceptedViewRecord, LogEntry, PromisedTermRecord
from crowwing.tier.replication.replica import Replica, ReplicaSettings
from crowwing.tier.replication.terms import FIRST_TERM, LOG_START, NO_TERM, Term, View
from crowwing.tier.state.events import COMPLETED, BatchItem, BatchJobAccepted, ItemResult, ItemsCompleted
from crowwing.tier.state.tier_state import TierState

HOSTS = ("a", "b", "c")
Kind = TypeVar("Kind")


def replica_of(host: str) -> Replica:
    """One of three replicas at their first start."""
    replica = Replica(ReplicaSettings(host, HOSTS, 1), TierState(), 0.0, lambda: 0.5)
    replica.bootstrap(HOSTS)
    replica.take_output()
    return replica


def sent(replica: Replica, kind: type[Kind]) -> list[tuple[str, Kind]]:
    """Messages of a kind in the replica's output since the last call."""
    output = replica.take_output()
    return [(to, message) for to, message in output.immediate + output.durable if isinstance(message, kind)]


def primary_of(hosts: tuple[str, ...], at: float) -> Replica:
    """Replica a as the primary of all hosts, with a lease from `at`."""
    replica = Replica(ReplicaSettings("a", hosts, 1), TierState(), 0.0, lambda: 0.5)
    replica.bootstrap(hosts)
    replica.take_output()
    replica.start_campaign(at)
    term = replica.promised
    first = View(FIRST_TERM, hosts, hosts)
    for host in hosts:
        replica.receive(at, messages.Promise(term, host, first, FIRST_TERM, LOG_START, 0.0))
    for host in hosts:
        replica.receive(at, messages.SyncResponse(term, host, LOG_START, True))
    for host in hosts:
        replica.receive(at, messages.Accepted(term, host))
    replica.take_output()
    assert replica.holds_lease(at)
    return replica


def primary_of_three(at: float) -> Replica:
    """Replica a as the primary of all three, with a lease from `at`."""
    return primary_of(HOSTS, at)


def test_a_leadership_transfer_releases_the_lease_before_the_message_is_sent() -> None:
    replica = primary_of_three(10.0)
    replica.transfer_leadership(10.01)
    assert not replica.holds_lease(10.01)
    assert len(sent(replica, messages.LeadershipTransfer)) == 1
    replica.start_heartbeat(10.02)
    for host in HOSTS[1:]:
        reply = messages.HeartbeatResponse(replica.promised, host, 2, LOG_START, replica.promised, True, 0.0)
        replica.receive(10.03, reply)
    assert not replica.holds_lease(10.03), "a released lease is not renewed in the same term"


def test_the_lease_of_a_view_that_was_accepted_late_runs_from_when_the_accept_was_sent() -> None:
    replica = replica_of("a")
    replica.start_campaign(10.0)
    term = replica.promised
    first = View(FIRST_TERM, HOSTS, HOSTS)
    for host in HOSTS:
        replica.receive(10.0, messages.Promise(term, host, first, FIRST_TERM, LOG_START, 0.0))
    for host in HOSTS:
        replica.receive(10.0, messages.SyncResponse(term, host, LOG_START, True))
    for host in HOSTS:
        replica.receive(10.9, messages.Accepted(term, host))
    assert replica.role.value == "primary"
    assert not replica.holds_lease(10.9), "the witnesses may have promised another candidate since"


@pytest.mark.parametrize("late", [messages.Promise, messages.Accepted])
def test_a_response_that_comes_after_the_time_out_is_not_counted(late: type) -> None:
    replica = replica_of("a")
    replica.start_campaign(10.0)
    term = replica.promised
    first = View(FIRST_TERM, HOSTS, HOSTS)
    at = 10.0 if late is messages.Accepted else 10.01 + timing.PREPARE_TIMEOUT_S
    for host in HOSTS:
        replica.receive(at, messages.Promise(term, host, first, FIRST_TERM, LOG_START, 0.0))
    for host in HOSTS:
        replica.receive(10.0, messages.SyncResponse(term, host, LOG_START, True))
    for host in HOSTS:
        replica.receive(10.01 + timing.ACCEPT_TIMEOUT_S, messages.Accepted(term, host))
    assert replica.role.value == "candidate"


def test_a_witness_promises_early_only_if_the_lease_that_it_acknowledged_is_released() -> None:
    witness = replica_of("b")
    view = View((5, "a"), HOSTS, HOSTS)
    witness.receive(10.0, messages.Heartbeat((5, "a"), "a", 1, view))
    witness.take_output()
    witness.receive(10.01, messages.Prepare((6, "c"), "c", (4, "c")))
    assert sent(witness, messages.Nack) and witness.promised == (5, "a"), "the lease of term 5 may be valid"
    witness.receive(10.02, messages.Prepare((6, "c"), "c", NO_TERM))
    assert sent(witness, messages.Nack)
    witness.receive(10.03, messages.Prepare((6, "c"), "c", (5, "a")))
    assert sent(witness, messages.Promise) and witness.promised == (6, "c")


def test_one_term_number_has_one_candidate_so_that_documents_of_two_primaries_differ() -> None:
    witness = replica_of("b")
    witness.receive(10.0, messages.Prepare((6, "a"), "a", NO_TERM))
    assert sent(witness, messages.Promise)
    witness.receive(10.1, messages.Prepare((6, "c"), "c", NO_TERM))
    assert sent(witness, messages.Nack) and witness.promised == (6, "a")


def entry(number: int) -> LogEntry:
    """An entry of the first term."""
    return LogEntry(FIRST_TERM, number, b"%d" % number)


def test_a_member_that_holds_only_a_part_of_the_log_is_not_marked_synced() -> None:
    """Otherwise a wiped member of the last view could lead with a part of the log, and overwrite the rest."""
    learner = replica_of("c")
    term, last = (3, "a"), (FIRST_TERM, 4)
    learner.receive(10.0, messages.SyncRequest(term, "a", LOG_START, (entry(1), entry(2)), last))
    assert learner.synced == FIRST_TERM
    assert [x.last for _, x in sent(learner, messages.SyncResponse)] == [(FIRST_TERM, 2)]
    learner.receive(10.1, messages.SyncRequest(term, "a", (FIRST_TERM, 2), (entry(3), entry(4)), last))
    assert learner.synced == term


def test_a_restarted_witness_promises_no_term_until_a_lease_it_may_have_acknowledged_has_ended() -> None:
    witness = Replica(ReplicaSettings("b", HOSTS, 1), TierState(), 10.0, lambda: 0.5)
    witness.recover([PromisedTermRecord((5, "a")), AcceptedViewRecord(View((5, "a"), HOSTS, HOSTS))])
    witness.receive(10.1, messages.Prepare((6, "c"), "c", (5, "a")))
    assert not sent(witness, messages.Promise), "the released lease may not be the one that it acknowledged"
    witness.receive(10.2, messages.PreVoteRequest((5, "a"), "c"))
    assert [answer.willing for _, answer in sent(witness, messages.PreVoteResponse)] == [False]
    witness.receive(10.01 + timing.LEADER_STICKINESS_S, messages.Prepare((6, "c"), "c", NO_TERM))
    assert sent(witness, messages.Promise)


def test_a_candidate_with_fewer_promises_than_a_majority_sends_nobody_its_data() -> None:
    replica = replica_of("a")
    replica.start_campaign(10.0)
    first = View(FIRST_TERM, HOSTS, HOSTS)
    replica.receive(10.0, messages.Promise(replica.promised, "a", first, FIRST_TERM, LOG_START, 0.0))
    replica.tick(10.5)
    assert replica.role.value == "candidate" and not sent(replica, messages.SyncRequest)
    replica.receive(10.5, messages.Promise(replica.promised, "b", first, FIRST_TERM, LOG_START, 0.0))
    replica.tick(10.6)
    assert sent(replica, messages.SyncRequest)


@pytest.mark.parametrize("members", [("b", "c"), HOSTS])
def test_a_candidate_that_missed_the_last_view_or_its_data_does_not_lead(members: tuple[str, ...]) -> None:
    replica = replica_of("a")
    replica.start_campaign(10.0, above=(5, "c"))
    first, last = View(FIRST_TERM, HOSTS, HOSTS), View((5, "c"), members, HOSTS)
    replica.receive(10.0, messages.Promise(replica.promised, "a", first, FIRST_TERM, LOG_START, 0.0))
    replica.receive(10.0, messages.Promise(replica.promised, "b", last, (5, "c"), ((5, "c"), 1), 0.0))
    replica.tick(10.2)
    assert replica.role.value == "follower" and not sent(replica, messages.SyncRequest)


def test_a_member_without_the_views_data_acknowledges_no_entry() -> None:
    """The member has lost its disk since it joined the view, and recovered the term from the others."""
    term = (5, "a")
    replica = Replica(ReplicaSettings("b", HOSTS, 1), TierState(), 10.0, lambda: 0.5)
    replica.tick(11.9)  # sends recovery requests
    for host in ("a", "c"):
        replica.receive(12.0, messages.RecoveryResponse(host, term, View(term, HOSTS, HOSTS)))
    assert replica.promised == term
    replica.receive(12.1, messages.AppendRequest(term, "a", (LogEntry(term, 1, b"\xf6"),)))
    assert not sent(replica, messages.AppendResponse) and replica.log.last == LOG_START


def test_a_witness_of_a_later_term_confirms_no_earlier_primary() -> None:
    witness = replica_of("b")
    witness.receive(10.0, messages.Prepare((6, "c"), "c", NO_TERM))
    witness.take_output()
    view = View((5, "a"), HOSTS, HOSTS)
    for message in (messages.Heartbeat((5, "a"), "a", 1, view), messages.Accept("a", view)):
        witness.receive(10.1, message)
        output = witness.take_output()
        responses = [answer for _, answer in output.immediate + output.durable]
        assert [type(answer) for answer in responses] == [messages.Nack]


def test_a_view_with_other_witnesses_needs_a_majority_of_the_old_ones_too() -> None:
    """Otherwise b and c, which do not know the new view, could form another one from the old view's data."""
    replica = replica_of("a")
    replica.start_campaign(10.0)
    term = replica.promised
    campaign = Campaign(Phase.ACCEPT, 10.0, NO_TERM)
    campaign.base = View(FIRST_TERM, HOSTS, HOSTS)
    campaign.view = View(term, ("a", "d"), ("a", "b", "d"))
    assert isinstance(replica.role_state, Candidate)
    replica.role_state.campaign = campaign
    for host in ("a", "d"):
        replica.receive(10.1, messages.Accepted(term, host))
    assert replica.role.value == "candidate", "a majority of the new witnesses, but not of the old ones"
    replica.receive(10.1, messages.Accepted(term, "b"))
    assert replica.role.value == "primary"


def follower(term: Term) -> Replica:
    """Replica b as a member of a view in a term."""
    replica = replica_of("b")
    replica.receive(9.0, messages.SyncRequest(term, "a", LOG_START, (), LOG_START))
    replica.receive(9.0, messages.Accept("a", View(term, HOSTS, HOSTS)))
    replica.take_output()
    return replica


@pytest.mark.parametrize(
    ("message", "answer"),
    [
        (messages.Prepare((6, "c"), "c", (5, "a")), messages.Promise),
        (messages.Accept("a", View((6, "a"), HOSTS, HOSTS)), messages.Accepted),
        (
            messages.SyncRequest((6, "a"), "a", LOG_START, (LogEntry((5, "a"), 1, b"\xf6"),), ((5, "a"), 1)),
            messages.SyncResponse,
        ),
        (messages.AppendRequest((5, "a"), "a", (LogEntry((5, "a"), 1, b"\xf6"),)), messages.AppendResponse),
        (messages.RecoveryRequest("c"), messages.RecoveryResponse),
    ],
)
def test_a_response_that_others_count_waits_for_the_disk(message: messages.Message, answer: type) -> None:
    replica = follower((5, "a"))
    replica.receive(10.0, message)
    output = replica.take_output()
    assert any(isinstance(sent_message, answer) for _, sent_message in output.durable)
    assert not any(isinstance(sent_message, answer) for _, sent_message in output.immediate)


def test_a_replica_without_its_disk_recovers_only_once_no_candidate_counts_its_former_responses() -> None:
    replica = Replica(ReplicaSettings("c", HOSTS, 1), TierState(), 10.0, lambda: 0.5)
    replica.tick(10.0 + max(timing.PREPARE_TIMEOUT_S, timing.ACCEPT_TIMEOUT_S))
    assert not sent(replica, messages.RecoveryRequest)
    replica.tick(10.0 + timing.RECOVERY_DELAY_S)
    assert sent(replica, messages.RecoveryRequest)


def test_a_replica_without_its_disk_sends_recovery_requests_to_whoever_a_heartbeat_names() -> None:
    replica = Replica(ReplicaSettings("d", ("gone",), 1), TierState(), 10.0, lambda: 0.5)
    replica.receive(10.1, messages.Heartbeat((5, "a"), "a", 1, View((5, "a"), HOSTS, HOSTS)))
    replica.tick(12.0)
    assert {to for to, _ in sent(replica, messages.RecoveryRequest)} == {"gone", *HOSTS}


def respond_with_spare(replica: Replica, at: float) -> None:
    """Delivers heartbeat responses of the members and of d, which holds the primary's data."""
    for host in (*HOSTS[1:], "d"):
        response = messages.HeartbeatResponse(
            replica.promised, host, 1, LOG_START, replica.promised, True, 0.0
        )
        replica.receive(at, response)
        replica.tick(at)


def test_a_spare_that_did_not_ask_to_join_is_taken_into_a_view_that_lacks_a_member() -> None:
    replica = primary_of(HOSTS[:2], 10.0)
    respond_with_spare(replica, 10.31)
    respond_with_spare(replica, 10.33)
    assert "d" in {to for to, _ in sent(replica, messages.Prepare)}, (
        "without a Prepare it never promises, so it can't become a member"
    )


def test_a_spare_of_a_full_view_is_sent_no_data_and_is_not_asked_to_promise() -> None:
    replica = primary_of_three(10.0)
    respond_with_spare(replica, 10.31)
    respond_with_spare(replica, 10.33)
    assert not sent(replica, messages.Prepare)
    assert "d" not in {to for to, _ in sent(replica, messages.SyncRequest)}


def test_a_primary_sends_heartbeats_to_store_machines_that_are_no_witnesses() -> None:
    replica = primary_of_three(10.0)
    replica.announced = frozenset({"d", *HOSTS})
    replica.tick(11.1)
    assert "d" in {to for to, _ in sent(replica, messages.Heartbeat)}


def test_a_replica_without_its_disk_ignores_recovery_responses_that_it_did_not_request() -> None:
    """Such a response is to an earlier incarnation; a promise made since may be missing in it."""
    term = (5, "a")
    replica = Replica(ReplicaSettings("c", HOSTS, 1), TierState(), 10.0, lambda: 0.5)
    for host in ("a", "b"):
        replica.receive(10.1, messages.RecoveryResponse(host, term, View(term, HOSTS, HOSTS)))
    assert not replica.recovered
    replica.tick(10.0 + timing.RECOVERY_DELAY_S)
    for host in ("a", "b"):
        replica.receive(12.0, messages.RecoveryResponse(host, term, View(term, HOSTS, HOSTS)))
    assert replica.recovered and replica.promised == term


def test_an_unresponsive_member_of_a_former_primary_stays_a_witness_of_a_much_later_view() -> None:
    replica = primary_of(HOSTS, 10.0)
    replica.step_down(10.5, "another has a higher term")
    replica.start_campaign(60.0)
    view = replica.view
    assert view is not None
    for host in HOSTS[:2]:
        replica.receive(60.0, messages.Promise(replica.promised, host, view, replica.synced, LOG_START, 0.0))
    replica.tick(60.01 + timing.PREPARE_GRACE_S)
    replica.receive(60.1, messages.SyncResponse(replica.promised, HOSTS[1], LOG_START, True))
    accepted = {message.view for _, message in sent(replica, messages.Accept)}
    assert {view.members for view in accepted} == {HOSTS[:2]}
    assert {view.witnesses for view in accepted} == {HOSTS}, "two witnesses would not tolerate one fault"


def test_a_view_of_more_replicas_than_a_full_one_shrinks_to_a_full_one_with_its_witnesses() -> None:
    hosts = ("a", "b", "c", "d", "e", "f", "g")
    replica = primary_of(hosts, 10.0)
    assert replica.view is not None
    assert replica.view.members == HOSTS, "an earlier version included all replicas in a view"
    assert replica.view.witnesses == HOSTS


def test_where_too_few_members_are_left_a_candidate_adds_replicas_that_asked_to_join() -> None:
    """Three members that have to tolerate two faults: if one is lost, two are too few to hold the data."""
    replica = Replica(ReplicaSettings("a", HOSTS, 2), TierState(), 0.0, lambda: 0.5)
    replica.bootstrap(HOSTS)
    replica.receive(9.9, messages.JoinRequest("d", False))
    replica.start_campaign(10.0)
    assert {to for to, _ in sent(replica, messages.Prepare)} == {*HOSTS, "d"}
    first = View(FIRST_TERM, HOSTS, HOSTS)
    for host in ("a", "b"):
        replica.receive(10.0, messages.Promise(replica.promised, host, first, FIRST_TERM, LOG_START, 0.0))
    replica.receive(10.0, messages.Promise(replica.promised, "d", None, NO_TERM, LOG_START, 0.0))
    replica.tick(10.01 + timing.PREPARE_GRACE_S)
    assert {to for to, _ in sent(replica, messages.SyncRequest)} == {"b", "d"}
    for host in ("b", "d"):
        replica.receive(10.2, messages.SyncResponse(replica.promised, host, LOG_START, True))
    (members,) = {message.view.members for _, message in sent(replica, messages.Accept)}
    assert members == ("a", "b", "d")


def test_where_enough_members_are_left_a_candidate_waits_for_nobody_else() -> None:
    replica = replica_of("a")
    replica.receive(9.9, messages.JoinRequest("d", False))
    replica.start_campaign(10.0)
    assert {to for to, _ in sent(replica, messages.Prepare)} == set(HOSTS)


def test_an_item_that_is_completed_again_keeps_its_first_result_and_its_position() -> None:
    state = TierState()
    items = tuple(BatchItem(name, "/p/1", (), b"", 1) for name in ("e1", "e2"))
    state.apply_event(BatchJobAccepted("j", "h", "/p/", items, 0))
    state.apply_event(ItemsCompleted("j", (ItemResult("e1", COMPLETED, "first"),)))
    stored_bytes = state.stored_bytes
    state.apply_event(ItemsCompleted("j", (ItemResult("e1", COMPLETED, "second"),)))
    assert [(result.item, result.text) for result in state.jobs["j"].results] == [("e1", "first")]
    assert set(state.jobs["j"].open_items) == {"e2"} and state.stored_bytes == stored_bytes
