"""The choice of a sidecar for each request."""

from random import Random
from typing import Any

import pytest
from httpcore import AsyncHTTP11Connection, AsyncMockStream, Origin

from crowwing.tier.front.load_reports import LoadReport
from crowwing.tier.front.prefix_cache import PromptBlock
from crowwing.tier.front.routing import SAMPLE_SIZE, SAMPLED_HOLDERS, SAMPLED_RECENT, home_of
from crowwing.tier.front.sidecar_state import SidecarState
from tests.tier.sidecar_tables import entry, many, router_of, table

CONNECTION = AsyncHTTP11Connection(Origin(b"http", b"a", 1), AsyncMockStream([]))


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
