"""The primary's decisions: events and outcomes of commands, and leases of items."""

import json
from typing import Any

import pytest

from crowwing.tier.configuration import InvalidConfiguration, RoutingTable, parse_configuration
from crowwing.tier.state import changes, events
from crowwing.tier.state.batch_jobs import BatchJob
from crowwing.tier.state.changes import AcceptedChanges
from crowwing.tier.state.tier_state import TierState
from crowwing.tier.store import commands, decisions, outcomes
from crowwing.tier.store.leases import LEASE_S, TAKEOVER_GRACE_S, Leases
from crowwing.tier.wire.codec import encode


def configuration(version: int, **changes: Any) -> bytes:  # noqa: ANN401
    route = {
        "name": "r", "host": "h.example", "pathPrefix": "/p/", "kind": "batch_queue", "timeoutMs": 1000,
        "sloMs": 400, "service": "s", "maxAttempts": 3, "completionSloMs": 12000, **changes.pop("route", {}),
    }  # fmt: skip
    complete = {"version": version, "routes": [route], "services": [{"name": "s"}], "limits": {}, **changes}
    return json.dumps(complete).encode()


def apply_decision(state: TierState, decision: decisions.Decision) -> Any:  # noqa: ANN401
    for event in decision.events:
        state.apply(encode(event), 1)
    return decision.outcome


def put(state: TierState, base: int, text: bytes) -> Any:  # noqa: ANN401
    return apply_decision(state, decisions.put_configuration(state, commands.PutConfiguration(base, text)))


def test_of_two_changes_based_on_one_version_one_wins() -> None:
    state = TierState()
    assert put(state, 0, configuration(3)) == outcomes.Done()
    assert put(state, 3, configuration(5)) == outcomes.Done()
    assert put(state, 3, configuration(6)).status == 412
    assert put(state, 3, configuration(5, limits={"maxBodyBytes": 9})).status == 412, (
        "the same version with other content"
    )


def test_an_accepted_change_is_acknowledged_again_also_after_others() -> None:
    state = TierState()
    put(state, 0, configuration(3))
    assert put(state, 0, configuration(3)) == outcomes.Done()
    put(state, 3, configuration(5))
    assert put(state, 0, configuration(3)) == outcomes.Done(), "its response may have been lost"
    assert state.version == 5, "and nothing is accepted twice"
    assert put(state, 0, configuration(3, limits={"maxBodyBytes": 9})).status == 412, (
        "another client's change"
    )
    assert put(state, 3, configuration(3)).status == 412, "the same text on another base was never accepted"


def test_a_change_is_remembered_through_a_repair_and_a_compaction() -> None:
    state = TierState()
    for version in range(1, 40):
        put(state, version - 1, configuration(version))
    other = TierState()
    other.replace_ranges(dict(state.freeze()))
    assert other.digests() == state.digests()
    for version in range(1, 40):
        assert put(other, version - 1, configuration(version)) == outcomes.Done()


def test_remembered_changes_are_bounded_and_no_forgotten_one_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(changes, "MAX_REMEMBERED_CHANGES", 20)
    state = TierState()
    for version in range(1, 31):
        put(state, version - 1, configuration(version))
    for version in range(11, 31):
        assert put(state, version - 1, configuration(version)) == outcomes.Done()
    for version in range(1, 11):
        assert isinstance(put(state, version - 1, configuration(version)), outcomes.Indeterminate), (
            "never rejected"
        )
    assert put(state, 11, configuration(31)).status == 412
    assert len(encode(state.changes.to_plain())) < 20 * 32
    assert (
        changes.MAX_REMEMBERED_CHANGES == 20
        and AcceptedChanges.from_plain(state.changes.to_plain()).last_evicted_version == 10
    )


@pytest.mark.parametrize(
    ("text", "place"),
    [
        (configuration(4)[:-9], "body"),
        (configuration(4, route={"service": "unknown"}), "body"),
        (configuration(4, route={"timeoutMs": 0}), "routes.0.timeoutMs"),
        (configuration(4, route={"trafficSplit": [{"service": "s", "weight": 0}]}), "routes.0"),
        (configuration(4, services=[]), "body"),
        (b"[]", "body"),
    ],
)
def test_an_invalid_configuration_is_rejected_with_the_field(text: bytes, place: str) -> None:
    parsed = parse_configuration(text)
    assert isinstance(parsed, InvalidConfiguration) and parsed.location == place
    state = TierState()
    assert put(state, 0, text).status == 400 and state.version == 0


def test_duplicate_routes_and_old_versions_are_rejected() -> None:
    text = json.loads(configuration(4))
    text["routes"].append({**text["routes"][0], "name": "other"})
    assert isinstance(parse_configuration(json.dumps(text).encode()), InvalidConfiguration)
    state = TierState()
    put(state, 0, configuration(4))
    assert put(state, 4, configuration(4, limits={"maxBodyBytes": 9})).status == 400
    assert put(state, 4, configuration(2)).status == 400


def test_the_longest_prefix_of_the_host_wins() -> None:
    text = json.loads(configuration(4))
    text["routes"].append({**text["routes"][0], "name": "longer", "pathPrefix": "/p/q/"})
    routes = RoutingTable(parse_configuration(json.dumps(text).encode()))
    assert routes.find("H.example", "/p/q/1").name == "longer"
    assert routes.find("h.example:80", "/p/1").name == "r"
    assert routes.find("h.example", "/other/") is None


def never_past_deadline(_: BatchJob) -> bool:
    return False


def submitted(count: int = 3) -> TierState:
    state = TierState()
    put(state, 0, configuration(3))
    items = tuple(events.BatchItem(f"i{number}", "/p/x", (), b"body", 10) for number in range(count))
    apply_decision(
        state,
        decisions.submit_batch_job(
            state, commands.SubmitBatchJob("lot", "h.example", "/p/x", items), 1000, True
        ),
    )
    return state


def report(state: TierState, item: str, result: events.ItemResult) -> Any:  # noqa: ANN401
    return apply_decision(state, decisions.report_item(state, commands.ReportItemResult("lot", item, result)))


def report_failure(state: TierState, item: str, attempt: str) -> Any:  # noqa: ANN401
    parsed = parse_configuration(state.configuration)
    return apply_decision(
        state, decisions.report_failure(state, commands.ReportItemFailure("lot", item, attempt), parsed)
    )


def test_a_job_is_accepted_once_and_keeps_its_positions() -> None:
    state = submitted()
    again = decisions.submit_batch_job(
        state, commands.SubmitBatchJob("lot", "h.example", "/p/x", ()), 2000, True
    )
    assert again == decisions.Decision((), outcomes.Done())
    report(state, "i1", events.ItemResult("i1", events.COMPLETED, "one"))
    report(state, "i1", events.ItemResult("i1", events.COMPLETED, "two"))
    page = decisions.read_batch_job(state, commands.ReadBatchJob("lot", 0, 0)).outcome
    assert page == outcomes.BatchJobPage(3, (events.ItemResult("i1", events.COMPLETED, "one"),))
    assert decisions.read_item_body(state, commands.ReadItemBody("lot", "i1")).outcome == outcomes.NotFound()
    assert decisions.read_item_body(state, commands.ReadItemBody("lot", "i0")).outcome == outcomes.ItemBody(
        b"body"
    )


def test_failed_attempts_end_an_item_at_the_routes_bound() -> None:
    state = submitted()
    for attempt in ("a", "b"):
        report_failure(state, "i0", attempt)
    assert not state.jobs["lot"].results
    report_failure(state, "i0", "c")
    assert state.jobs["lot"].results == [events.ItemResult("i0", events.DEAD_LETTER, "")]


def test_a_failed_attempt_that_is_reported_again_counts_once() -> None:
    state = submitted()
    for _ in range(5):  # retries whose responses were lost
        assert report_failure(state, "i0", "a") == outcomes.Done()
    assert state.jobs["lot"].failures == {"i0": ["a"]} and not state.jobs["lot"].results


def test_an_ended_job_keeps_its_results_and_gets_no_more() -> None:
    state = submitted()
    report(state, "i0", events.ItemResult("i0", events.COMPLETED, "one"))
    assert (
        apply_decision(state, decisions.end_batch_job(state, commands.EndBatchJob("lot"))) == outcomes.Done()
    )
    assert (
        apply_decision(state, decisions.end_batch_job(state, commands.EndBatchJob("lot"))) == outcomes.Done()
    )
    assert report(state, "i1", events.ItemResult("i1", events.COMPLETED, "late")) == outcomes.Done()
    assert len(state.jobs["lot"].results) == 1
    assert decisions.end_batch_job(state, commands.EndBatchJob("unknown")).outcome == outcomes.NotFound()


def test_a_state_round_trips_through_freeze_and_replace() -> None:
    state = submitted()
    report(state, "i0", events.ItemResult("i0", events.COMPLETED, "one"))
    report_failure(state, "i2", "a")
    apply_decision(
        state,
        decisions.Decision(
            (events.StoreRegistered("store-1", "10.0.0.1"), events.RetireRequested("store-1")), None
        ),
    )
    other = TierState()
    other.replace_ranges(dict(state.freeze()))
    assert dict(other.freeze()) == dict(state.freeze()) and other.retired_hosts() == {"10.0.0.1"}
    assert other.jobs["lot"].failures == {"i2": ["a"]}


def test_a_store_is_decommissioned_only_while_enough_others_stay() -> None:
    state = TierState()
    for number in range(4):
        state.apply_event(events.StoreRegistered(f"store-{number}", f"10.0.0.{number}"))
    hosts = [f"10.0.0.{number}" for number in range(4)]
    assert (
        decisions.retire_store(state, commands.RetireStore("unknown"), hosts, 3).outcome
        == outcomes.NotFound()
    )
    assert (
        apply_decision(state, decisions.retire_store(state, commands.RetireStore("store-0"), hosts, 3))
        == outcomes.Done()
    )
    assert (
        apply_decision(state, decisions.retire_store(state, commands.RetireStore("store-0"), hosts, 3))
        == outcomes.Done()
    )
    assert decisions.retire_store(state, commands.RetireStore("store-1"), hosts, 3).outcome.status == 409


def test_a_store_decommissioned_earlier_does_not_block_others() -> None:
    state = TierState()
    for number in range(4):
        state.apply_event(events.StoreRegistered(f"store-{number}", f"10.0.0.{number}"))
    state.apply_event(events.RetireRequested("store-0"))
    state.apply_event(events.StoreRegistered("store-4", "10.0.0.4"))
    left = [f"10.0.0.{number}" for number in range(1, 5)]
    assert (
        apply_decision(state, decisions.retire_store(state, commands.RetireStore("store-1"), left, 3))
        == outcomes.Done()
    )
    assert decisions.retire_store(state, commands.RetireStore("store-2"), left, 3).outcome.status == 409


def test_a_store_at_the_address_of_a_decommissioned_one_may_stay() -> None:
    state = TierState()
    state.apply_event(events.StoreRegistered("store-0", "10.0.0.1"))
    state.apply_event(events.RetireRequested("store-0"))
    assert state.retired_hosts() == {"10.0.0.1"}
    state.apply_event(events.StoreRegistered("store-9", "10.0.0.1"))
    assert state.retired_hosts() == frozenset()
    assert decisions.retire_store(state, commands.RetireStore("store-0"), [], 0).outcome == outcomes.Done(), (
        "it was accepted and must never be rejected"
    )


def test_items_are_leased_once_until_the_lease_expires_and_late_jobs_last() -> None:
    state = submitted(2)
    items = (events.BatchItem("j0", "/p/x", (), b"", 1),)
    state.apply_event(events.BatchJobAccepted("later", "h.example", "/p/x", items, 2000))
    leases = Leases(0.0)
    for job in state.jobs.values():
        leases.add_job(job)
    assert leases.lease(state, "f1", 5, TAKEOVER_GRACE_S / 2, never_past_deadline) == [], (
        "fronts renew their leases first"
    )
    late_first = leases.lease(state, "f1", 1, 1.0, lambda job: job.id == "lot")
    assert [item.id for _, item in late_first] == ["j0"]
    assert [item.id for _, item in leases.lease(state, "f1", 5, 1.0, never_past_deadline)] == ["i0", "i1"]
    assert leases.lease(state, "f2", 5, 1.0, never_past_deadline) == []
    assert leases.renew(state, "f1", [("lot", "i0")], 1.0 + LEASE_S / 2) == ()
    again = leases.lease(state, "f2", 5, 1.0 + LEASE_S, never_past_deadline)
    assert sorted(item.id for _, item in again) == ["i1", "j0"], "the renewed lease is kept"
    assert leases.renew(state, "f1", [("lot", "i1")], 1.1 + LEASE_S) == (("lot", "i1"),)
    state.apply_event(events.BatchJobEnded("lot"))
    assert leases.renew(state, "f1", [("lot", "i0")], 1.1 + LEASE_S) == (("lot", "i0"),)


def test_a_reported_failure_frees_an_item_and_an_ended_job_frees_none() -> None:
    state = submitted(2)
    leases = Leases(0.0)
    leases.add_job(state.jobs["lot"])
    assert len(leases.lease(state, "f1", 5, 1.0, never_past_deadline)) == 2
    leases.release(state, ("lot", "i1"))
    assert [item.id for _, item in leases.lease(state, "f2", 5, 1.1, never_past_deadline)] == ["i1"]
    state.apply_event(events.BatchJobEnded("lot"))
    assert leases.lease(state, "f3", 5, 1.2 + LEASE_S, never_past_deadline) == []
    assert leases.free_count == 0


def test_given_up_items_are_leased_again_at_once_unless_leased_to_another_front() -> None:
    state = submitted(2)
    leases = Leases(0.0)
    leases.add_job(state.jobs["lot"])
    assert len(leases.lease(state, "f1", 5, 1.0, never_past_deadline)) == 2
    leases.give_up(state, "f1", [("lot", "i1")])
    assert [item.id for _, item in leases.lease(state, "f2", 5, 1.1, never_past_deadline)] == ["i1"]
    leases.give_up(state, "f1", [("lot", "i1")])  # a retry of the same call, whose response was lost
    assert leases.lease(state, "f3", 5, 1.2, never_past_deadline) == [], "it is leased to f2"
    state.apply_event(events.BatchJobEnded("lot"))
    leases.give_up(state, "f2", [("lot", "i1")])
    assert leases.free_count == 0


def test_the_cost_of_a_call_does_not_grow_with_leased_items() -> None:
    state = TierState()
    for number in range(50):
        items = tuple(events.BatchItem(f"i{number}-{place}", "/p/x", (), b"", 1) for place in range(200))
        state.apply_event(events.BatchJobAccepted(f"lot{number}", "h.example", "/p", items, 1000))
    leases = Leases(0.0)
    for job in state.jobs.values():
        leases.add_job(job)
    looked_at: list[str] = []

    def is_past_deadline(job: BatchJob) -> bool:
        looked_at.append(job.id)
        return False

    assert len(leases.lease(state, "f1", 10_000, 1.0, is_past_deadline)) == 10_000
    looked_at.clear()
    assert leases.lease(state, "f2", 5, 1.1, is_past_deadline) == []
    assert looked_at == [], "jobs without available items are not checked"


def test_a_state_is_repaired_by_transferring_the_ranges_that_differ() -> None:
    ahead, behind = TierState(), TierState()
    item = events.BatchItem("i", "/p/i", (), b"x", 1)
    history = [
        events.ConfigurationAccepted(3, 0, configuration(3)),
        events.StoreRegistered("store-1", "10.0.0.1"),
        *(events.BatchJobAccepted(f"lot{n}", "h.example", "/p", (item,), n) for n in range(40)),
        *(
            events.ItemsCompleted(f"lot{n}", (events.ItemResult("i", events.COMPLETED, "done"),))
            for n in range(20)
        ),
        events.BatchJobRemoved("lot7"),
    ]
    for index, event in enumerate(history, 1):
        ahead.apply(encode(event), index)
        if index < 50:
            behind.apply(encode(event), index)
    mine, theirs = behind.digests(), ahead.digests()
    differ = [number for number, digest in enumerate(theirs) if mine[number] != digest]
    assert differ == sorted({ahead.range_of(encode(event)) for event in history[49:]})
    behind.replace_ranges({number: ahead.dump_range(number) for number in differ})
    assert behind.digests() == ahead.digests()
    assert behind.stored_bytes == ahead.stored_bytes
    assert {job: behind.jobs[job] for job in ahead.jobs} == ahead.jobs == behind.jobs
