"""Load estimates and health of sidecars, and the choice of one by routing."""

from random import Random
from typing import Any

import pytest
from httpcore import AsyncHTTP11Connection, AsyncMockStream, Origin

from crowwing.tier.front.load_reports import AverageInflight, LoadReport
from crowwing.tier.front.prefix_cache import PromptBlock, parse_prompt_prefix
from crowwing.tier.front.routing import SAMPLE_SIZE, SAMPLED_HOLDERS, SAMPLED_RECENT, Router, home_of
from crowwing.tier.front.sidecar_state import SidecarState
from crowwing.tier.front.sidecar_table import BATCH_FILL, UNCOUNTED_SHARE_SLOTS, SidecarTable
from crowwing.tier.platform_list import Sidecar

CONNECTION = AsyncHTTP11Connection(Origin(b"http", b"a", 1), AsyncMockStream([]))


def entry(name: str, ready: bool = True, zone: str = "z1") -> Sidecar:
    return Sidecar(name, "advisor", f"10.0.0.{len(name)}:80", zone, 48, ready)


def table(*names: str) -> SidecarTable:
    made = SidecarTable()
    made.update([entry(name) for name in names])
    return made


def router_of(sidecars: SidecarTable, random: Random | None = None) -> Router:
    router = Router(sidecars, random)
    router.zone = "z1"
    return router


def test_a_prompt_prefix_is_read_as_its_blocks() -> None:
    assert parse_prompt_prefix("5c1e:800,91bd:410, junk,x:y") == (
        PromptBlock("5c1e", 800),
        PromptBlock("91bd", 410),
    )


def test_draining_and_unlisted_sidecars_get_nothing() -> None:
    sidecars = table("a", "b")
    router = router_of(sidecars)
    sidecars.update([entry("a", ready=False), entry("b")])
    assert router.choose("advisor", (), 0.0).entry.id == "b"
    assert sidecars.update([entry("a", ready=False)]) == ["b"]
    assert router.choose("advisor", (), 0.0) is None


def test_the_less_loaded_sidecar_is_chosen() -> None:
    sidecars = table("a", "b")
    router = router_of(sidecars)
    sidecars.of_service("advisor")[0].record_load(0.0, LoadReport(40, 0, 48))
    assert router.choose("advisor", (), 0.1).entry.id == "b"


def test_a_reported_load_decays_so_that_old_reports_starve_no_sidecar() -> None:
    sidecars = table("a")
    state = sidecars.of_service("advisor")[0]
    state.record_load(0.0, LoadReport(48, 12, 48))
    assert sidecars.free_slots("advisor", 0.1).live == 0
    assert sidecars.free_slots("advisor", 2.0).live > 40
    state.inflight, sidecars.fronts = 3, 9
    assert state.estimate(2.0, AverageInflight(3.0, 24.0)) == pytest.approx(27), "as if all fronts sent alike"


def test_items_leave_a_third_of_the_slots_to_live_requests() -> None:
    sidecars = table("a")
    sidecars.of_service("advisor")[0].record_load(0.0, LoadReport(35, 0, 48))
    free_slots = sidecars.free_slots("advisor", 0.0)
    assert free_slots.batch == 0 and free_slots.live > 8


def test_a_large_shared_block_goes_where_it_is_cached_unless_that_is_crowded() -> None:
    sidecars = table("a", "b", "c")
    router = router_of(sidecars)
    prompt = (PromptBlock("shared", 13_300), PromptBlock("own", 3_000))
    home = home_of("shared", sidecars.of_service("advisor"))
    chosen = router.choose("advisor", prompt, 0.0)
    assert chosen.entry.id == home
    chosen.prefix_cache.add(prompt)
    assert (
        chosen.prefix_cache.uncached_tokens((PromptBlock("shared", 13_300), PromptBlock("other", 100))) == 100
    )
    chosen.record_load(0.0, LoadReport(48, 40, 48))
    assert router.choose("advisor", prompt, 0.0).entry.id != home


def test_a_home_stays_where_it_is_when_another_sidecar_goes() -> None:
    sidecars = table("a", "b", "c", "d")
    states = sidecars.of_service("advisor")
    home = home_of("part", states)
    rest = [state for state in states if state.entry.id == home or state.entry.id == "a"]
    assert home_of("part", rest) == home


def test_a_failing_sidecar_is_avoided_with_growing_backoff_unless_all_fail() -> None:
    sidecars = table("a", "b")
    router = router_of(sidecars)
    first = sidecars.of_service("advisor")[0]
    first.record_failure(0.0)
    assert not first.is_usable(0.4) and first.is_usable(0.6)
    first.record_failure(0.6)
    assert not first.is_usable(1.5) and first.is_usable(1.7)
    first.record_success()
    for state in sidecars.of_service("advisor"):
        state.record_failure(2.0)
    assert router.choose("advisor", (), 2.1) is not None, "a doubtful sidecar is better than none"


def test_an_unresponsive_sidecar_gets_no_requests_until_it_responds() -> None:
    sidecars = table("a", "b")
    router = router_of(sidecars)
    first = sidecars.of_service("advisor")[0]
    first.unanswered[1] = 1.0
    assert sidecars.unresponsive(1.3) == []
    assert sidecars.unresponsive(1.4) == [first] and not first.is_usable(1.4)
    assert router.choose("advisor", (), 1.4).entry.id == "b"
    first.record_success()
    first.last_byte_at = 1.5
    assert first.is_usable(1.5) and sidecars.unresponsive(1.6) == [], "it has responded since"


def test_a_sidecar_whose_requests_fail_gets_fewer_although_it_reports_no_load() -> None:
    sidecars = table("a", "b")
    router = router_of(sidecars)
    first, second = sidecars.of_service("advisor")
    for index in range(12):
        (first.failure_rate.record_failure if index % 2 else first.failure_rate.record_success)(0.1 * index)
        second.failure_rate.record_success(0.1 * index)
    second.record_load(1.2, LoadReport(40, 0, 48))
    assert router.choose("advisor", (), 1.2).entry.id == "b", "although the other one is busier"
    assert sidecars.free_slots("advisor", 1.2).live < 48 + 8, "the failing one has fewer usable slots"
    assert router.choose("advisor", (), 30.0).entry.id in "ab"
    assert first.failure_rate.excess_failure_share(30.0) < 0.01, "it is tried again"


def test_one_failure_is_no_reason_to_avoid_a_sidecar() -> None:
    sidecars = table("a", "b")
    router = router_of(sidecars)
    first, second = sidecars.of_service("advisor")
    first.failure_rate.record_failure(0.0)
    second.record_load(0.0, LoadReport(8, 0, 48))
    assert router.choose("advisor", (), 0.1) is first


def test_where_all_fail_all_are_used() -> None:
    sidecars = table("a", "b")
    router = router_of(sidecars)
    for state in sidecars.of_service("advisor"):
        for index in range(20):
            state.failure_rate.record_failure(0.1 * index)
    assert router.choose("advisor", (), 2.0) is not None


def many(count: int) -> SidecarTable:
    made = SidecarTable()
    made.update([Sidecar(f"s{n}", "advisor", f"10.0.0.1:{n}", "z1", 48, True) for n in range(count)])
    return made


def test_of_many_sidecars_few_are_scored_for_each_request(monkeypatch: pytest.MonkeyPatch) -> None:
    for count in (60, 5200):
        sidecars = many(count)
        router = router_of(sidecars, Random(1))
        scored: list[str] = []
        cost = router._cost_ms

        def counted(state: SidecarState, *rest: Any, cost: Any = cost, scored: Any = scored) -> float:  # noqa: ANN401
            scored.append(state.entry.id)
            return cost(state, *rest)

        monkeypatch.setattr(router, "_cost_ms", counted)
        router.choose("advisor", (PromptBlock("shared", 13_300), PromptBlock("own", 10)), 0.0)
        assert len(scored) <= SAMPLE_SIZE + SAMPLED_HOLDERS + SAMPLED_RECENT + 1, f"of {count}"


def test_of_many_sidecars_the_home_of_a_shared_block_or_a_holder_is_chosen() -> None:
    sidecars = many(60)
    router = router_of(sidecars, Random(1))
    prompt = (PromptBlock("shared", 13_300), PromptBlock("own", 10))
    home = home_of("shared", sidecars.of_service("advisor"))
    assert {router.choose("advisor", prompt, 0.0).entry.id for _ in range(20)} == {home}
    holder = next(x for x in sidecars.of_service("advisor") if x.entry.id != home)
    router.record_cached(holder, prompt)
    assert router.choose("advisor", prompt, 0.0) is holder, "it has it cached"
    sidecars.update([x.entry for x in sidecars.of_service("advisor") if x is not holder])
    assert router.choose("advisor", prompt, 0.0).entry.id == home, "a holder that was removed is not chosen"


def test_of_many_sidecars_those_that_can_be_used_are_found_among_many_that_cannot() -> None:
    sidecars = many(100)
    router = router_of(sidecars, Random(1))
    is_usable = sidecars.of_service("advisor")[7]
    for state in sidecars.of_service("advisor"):
        if state is not is_usable:
            state.record_failure(0.0)
    assert router.choose("advisor", (), 0.1) is is_usable


def test_free_slots_are_cached_briefly_for_many_sidecars() -> None:
    sidecars = many(60)
    before = sidecars.free_slots("advisor", 1.0)
    sidecars.count_started("advisor", 10, 5)
    after = sidecars.free_slots("advisor", 1.01)
    assert (after.live, after.batch) == (before.live - 15, before.batch - 15)
    assert sidecars.free_slots("advisor", 1.05) == before, "counted again"


def test_many_fronts_poll_a_sidecar_no_more_often_than_few() -> None:
    reports_per_s = {}
    for fronts in (5, 50):
        sidecars = table(*(f"s{number}" for number in range(30)))
        sidecars.fronts = fronts
        count = 0
        for step in range(200):  # 10 s in which requests are queued
            now = 100 + 0.05 * step
            for state in sidecars.with_stale_load("advisor", now):
                state.report_requested_at = now
                count += 1
        reports_per_s[fronts] = count * fronts / 30 / 10  # at one sidecar, by all fronts
    assert reports_per_s[5] <= 5 / 0.4 + 1 and reports_per_s[50] <= 20 + 50 / 10, reports_per_s


def test_a_few_sidecars_are_polled_at_a_time_the_oldest_reports_first() -> None:
    sidecars = table(*(f"s{number}" for number in range(10)))
    for index, state in enumerate(sidecars.of_service("advisor")):
        state.record_load(float(-index), LoadReport(0, 0, 48))
    polled = [state.entry.id for state in sidecars.with_stale_load("advisor", 10.0)]
    assert polled == ["s9", "s8", "s7", "s6"]


def test_one_request_at_a_sidecar_is_not_multiplied_by_the_number_of_fronts() -> None:
    sidecars = table(*(f"s{number}" for number in range(30)))
    sidecars.fronts = 50
    state = sidecars.of_service("advisor")[0]
    state.inflight = 1
    assert sidecars.load("advisor", 100.0).waiting == 0, "50 requests there would exceed its slots"
    assert sidecars.load("advisor", 100.0).running == pytest.approx(50, rel=0.2), "in total, one per front"


def test_many_requests_at_one_sidecar_raise_the_estimate_of_other_fronts() -> None:
    sidecars = table("a", "b", "c")
    sidecars.fronts = 9
    crowded, *others = sidecars.of_service("advisor")
    crowded.inflight = 12
    for state in others:
        state.inflight = 3
    assert crowded.estimate(100.0, AverageInflight(6.0, 48.0)) > 80
    assert others[0].estimate(100.0, AverageInflight(6.0, 48.0)) < 40


def test_of_many_sidecars_not_all_are_counted_for_each_choice(monkeypatch: pytest.MonkeyPatch) -> None:
    sidecars = table(*(f"s{number}" for number in range(200)))
    router = router_of(sidecars)
    listed = 0

    def count(service: str, real: Any = sidecars.of_service) -> Any:  # noqa: ANN401
        return CountedList(real(service), note)

    def note(number: int) -> None:
        nonlocal listed
        listed += number

    monkeypatch.setattr(sidecars, "of_service", count)
    for _ in range(50):
        assert router.choose("advisor", (), 100.0) is not None
    assert listed <= 2 * 200, "counted once for all fifty requests"


class CountedList(list[SidecarState]):
    """A list that reports how many of its items are iterated over."""

    def __init__(self, items: list[SidecarState], note: Any) -> None:  # noqa: ANN401
        super().__init__(items)
        self._note = note

    def __iter__(self) -> Any:  # noqa: ANN401
        self._note(len(self))
        return super().__iter__()


def test_before_the_fronts_are_counted_each_assumes_a_small_share() -> None:
    sidecars = table(*(f"s{number}" for number in range(36)))
    slots = 36 * 48
    assert slots / sidecars.assumed_front_count("advisor") == pytest.approx(UNCOUNTED_SHARE_SLOTS, rel=0.01)
    sidecars.fronts, sidecars.fronts_counted = 9, True
    assert sidecars.assumed_front_count("advisor") == 9


def test_a_sidecar_with_an_idle_connection_is_preferred() -> None:
    sidecars = table("a", "b")
    router = router_of(sidecars)
    first, second = sidecars.of_service("advisor")
    second.connections.open_count = 1
    second.connections.idle.append(CONNECTION)
    assert router.choose("advisor", (), 0.0) is second
    second.record_load(0.0, LoadReport(24, 0, 48))
    assert router.choose("advisor", (), 0.0) is first, "a busy sidecar is not preferred"


def test_a_sidecar_without_available_connections_is_skipped_while_others_have_some() -> None:
    sidecars = table("a", "b")
    router = router_of(sidecars)
    first, second = sidecars.of_service("advisor")
    first.connections.record_reset(0.0)
    assert {router.choose("advisor", (), 0.05).entry.id for _ in range(5)} == {"b"}
    first.connections.idle.append(CONNECTION)
    assert router.choose("advisor", (), 0.05) is first, "an idle connection is still usable"
    second.connections.record_reset(0.0)
    first.connections.idle.clear()
    assert router.choose("advisor", (), 0.05) is not None, "a doubtful sidecar is better than none"


def test_reported_loads_are_extrapolated_whatever_the_number_of_fronts() -> None:
    for fronts in (3, 72, 3000):
        sidecars = table(*(f"s{number}" for number in range(10)))
        sidecars.fronts = fronts
        first = sidecars.of_service("advisor")[0]
        first.inflight = 1
        for step in range(60):
            sidecars.record_load(first, 0.01 * step, LoadReport(12, 0, 48))
        load = sidecars.load("advisor", 0.6)
        assert load.running == pytest.approx(10 * 12, rel=0.2), "each of ten like the one that reported"


def test_a_false_load_report_changes_other_estimates_little_and_briefly() -> None:
    sidecars = table(*(f"s{number}" for number in range(10)))
    healthy, faulty, *_ = sidecars.of_service("advisor")
    for step in range(60):
        now = 0.01 * step
        sidecars.record_load(healthy, now, LoadReport(12, 0, 48))
        if step % 10 == 9:
            sidecars.record_load(faulty, now, LoadReport(1e9, 1e9, 1))
    others = [state for state in sidecars.of_service("advisor") if state not in (healthy, faulty)]
    average = sidecars.average_inflight("advisor", 0.6)
    assert max(state.estimate(0.6, average) for state in others) < 48, "they still have free slots"
    average = sidecars.average_inflight("advisor", 9.0)
    assert average.others == 0, "the reports are too old, and this front sends nothing"


@pytest.mark.parametrize("fronts", [1, 9, 72, 3000])
def test_items_of_all_fronts_together_leave_slots_for_live_requests(fronts: int) -> None:
    sidecars = table(*(f"s{number}" for number in range(36)))
    sidecars.fronts, sidecars.fronts_counted = fronts, True
    assert fronts * (sidecars.max_batch_items("advisor") - 1) <= BATCH_FILL * 36 * 48
    assert sidecars.max_batch_items("advisor") >= 1, "and no front is starved"
