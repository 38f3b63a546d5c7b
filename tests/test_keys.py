"""Idempotency keys over sockets: one run for each key, and its result for every repeat."""

import asyncio
import copy
import socket
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

import pytest

from crowwing.contract import Idempotency
from crowwing.routing.open_request import OpenRequest
from crowwing.routing.request_resolver import InvalidRequestError
from crowwing.routing.retry_table import RetryTable, work_of
from tests.parties import reply
from tests.rig import MS, SETTINGS, Sidecar, Town, play_in
from tests.street import Street, live_in
from tests.test_program import ask_one, ident


def keyed(window: float = 20000.0, **family: object) -> dict:
    """`look` (with downstream calls) and `book` are keyed, `pay` is non-idempotent."""
    changed = copy.deepcopy(SETTINGS)
    for lane in changed["lanes"][:2]:
        lane |= {"semantics": "keyed", "dedup_window": window}
    changed["realms"].append({"name": "acme-east", "quota_per_s": 1000.0})
    changed["family_info"] |= family
    return changed


def again(town: Town, n: int, key: str = "k1", kind: str = "book", **changes: object) -> asyncio.Task:
    return asyncio.create_task(ask_one(town, n, kind, X_Txn_Key=key, **changes))


async def running(town: Town, n: int) -> None:
    await town.until(lambda: ident(n) in town.farm.running)


async def begun(town: Town, n: int, **changes: object) -> asyncio.Task:
    """A keyed request that runs until the test ends it."""
    town.farm.hold = True
    asked = again(town, n, **changes)
    await running(town, n)
    return asked


def runs(town: Town) -> int:
    return sum(town.farm.begun.values())


def test_a_repeat_of_a_run_waits_for_its_result_and_one_of_an_answered_request_has_it_at_once() -> None:
    async def scene(town: Town) -> None:
        first = await begun(town, 1)
        second = again(town, 2)
        await town.until(lambda: town.counts["had"] == 2)
        town.farm.go_on(ident(1))
        result = town.farm.result(ident(1))
        assert [(await asked)[::2] for asked in (first, second)] == [(200, result)] * 2
        assert (await again(town, 3))[::2] == (200, result)
        assert (await again(town, 1))[::2] == (200, result)  # resent over a new connection
        assert town.farm.begun == {ident(1): 1}
        town.check()

    play_in(Town(keyed()), scene)


def test_a_repeat_of_a_request_that_waits_for_a_call_makes_none_of_its_own() -> None:
    async def scene(town: Town) -> None:
        held: list[bytes] = []
        town.below.usual = lambda head, body: held.append(body) or "hang"
        first = again(town, 1, kind="look")
        await town.until(lambda: len(held) == 1)
        second = again(town, 2, kind="look")
        await town.until(lambda: town.counts["had"] == 2)
        (writer,) = town.below.open
        writer.write(reply(200, b"late"))
        assert (await first)[0] == (await second)[0] == 200
        assert len(held) == 1 and town.farm.begun == {ident(1): 1}
        town.check()

    play_in(Town(keyed()), scene)


def test_a_repeat_replaces_a_first_attempt_that_is_still_queued() -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        town.backend.dispatcher.manager.limit = 0.0
        town.backend.dispatcher.manager.update_controls = lambda now: None
        first = again(town, 1)
        await town.until(lambda: town.backend.dispatcher.manager.counts[1] == 1)
        second = again(town, 2)
        assert (await first)[0] == 503
        town.backend.dispatcher.manager.limit = 4.0
        await running(town, 2)
        town.farm.go_on(ident(2))
        assert (await second)[0] == 200 and town.farm.begun == {ident(2): 1}
        town.check()

    play_in(Town(keyed()), scene)


@pytest.mark.parametrize(("after", "begun"), [(-20, 1), (0, 1), (1, 2)])
def test_the_window_counts_from_the_arrival_of_the_attempt_that_ran(after: int, begun: int) -> None:
    async def scene(town: Town) -> None:
        stamp = town.backend.dispatcher.now() // MS - 300
        assert (await again(town, 1, X_Ingress_Time=str(stamp)))[0] == 200
        entry = town.backend.dispatcher.retry_table.by_request_id[ident(1)]
        end = max(stamp + 600, -(-entry.until // MS)) + after if after > 0 else stamp + 600 + after
        await town.until(lambda: town.backend.dispatcher.now() // MS > end)
        assert (await again(town, 2, X_Ingress_Time=str(end)))[0] == 200
        assert runs(town) == begun
        town.check()

    play_in(Town(keyed(600.0)), scene)


def test_a_time_stamp_ahead_of_the_clock_takes_no_repeat_out_of_its_window() -> None:
    async def scene(town: Town) -> None:
        assert (await again(town, 1))[0] == 200
        ahead = str(town.backend.dispatcher.now() // MS + 60_000)
        assert (await again(town, 2, X_Ingress_Time=ahead, left=500))[0] == 200 and runs(town) == 1
        town.check()

    play_in(Town(keyed()), scene)


def test_a_window_that_ends_during_the_run_starts_no_second_run() -> None:
    async def scene(town: Town) -> None:
        first = await begun(town, 1)
        over = town.backend.dispatcher.retry_table.by_request_id[ident(1)].until
        await town.until(
            lambda: (
                town.backend.dispatcher.now() > over + 100 * MS
                and not town.backend.dispatcher.manager.entries
            )
        )
        second = again(town, 2)
        await town.until(lambda: town.counts["had"] == 2)
        town.farm.go_on(ident(1))
        assert (await first)[0] == (await second)[0] == 200 and town.farm.begun == {ident(1): 1}
        town.check()

    play_in(Town(keyed(50.0)), scene)


def test_a_failed_run_is_not_repeated_and_a_request_that_never_ran_may_run() -> None:
    async def scene(town: Town) -> None:
        first = await begun(town, 1)
        second = again(town, 2)
        await town.until(lambda: town.counts["had"] == 2)
        town.farm.end(ident(1), "ERROR")
        assert (await first)[0] == (await second)[0] == (await again(town, 3))[0] == 500
        assert runs(town) == 1
        unknown = again(town, 4, key="k2")
        await running(town, 4)
        town.farm.running.clear()
        town.farm.writer.write(f"refusal launch {ident(4)}\r\n".encode())
        assert (await unknown)[0] == 500
        town.farm.hold = False
        assert (await again(town, 5, key="k2"))[0] == 200
        town.check()

    play_in(Town(keyed()), scene)


def test_a_repeat_past_its_deadline_is_answered_while_the_run_continues() -> None:
    async def scene(town: Town) -> None:
        first = await begun(town, 1)
        assert (await again(town, 2, left=200))[0] == 500
        town.farm.go_on(ident(1))
        assert (await first)[0] == 200 and runs(town) == 1
        town.check()

    play_in(Town(keyed()), scene)


def test_no_result_reaches_another_customer_class_or_body() -> None:
    async def scene(town: Town) -> None:
        assert (await again(town, 1))[0] == 200
        east = await again(town, 2, X_Merchant="acme-east")
        assert east[0] == 200 and east[2] == town.farm.result(ident(2))
        other = await again(town, 3, kind="look")
        assert other[0] == 200 and other[2] == town.farm.result(ident(3))
        assert (await again(town, 4, body=b"fished"))[0] == 400  # its key, another body
        assert (await again(town, 1, body=b"fished"))[0] == 400  # its id and key, another body
        assert (await again(town, 1, X_Merchant="acme-east"))[0] == 400  # its id, another customer
        for n in (5, 6):  # without a key each runs on its own
            assert (await ask_one(town, n))[2] == town.farm.result(ident(n))
        assert (await again(town, 7, key="x" * 256))[0] == 400
        town.farm.hold = True
        both = [again(town, 8, key="k3", body=body) for body in (b"one", b"two")]
        await running(town, 8)
        town.farm.go_on(ident(8))
        assert sorted([(await asked)[0] for asked in both]) == [200, 400]
        town.check()

    play_in(Town(keyed()), scene)


@pytest.mark.parametrize("kind", ["book", "pay"])
def test_an_ended_non_idempotent_or_keyed_request_never_runs_again_under_another_customer(kind: str) -> None:
    async def scene(town: Town) -> None:
        assert (await again(town, 1, kind=kind))[0] == 200
        assert (await again(town, 1, key="k9", kind=kind, X_Merchant="acme-east"))[0] == 400
        assert runs(town) == 1
        town.check()

    play_in(Town(keyed()), scene)


def test_the_launch_of_a_keyed_request_is_not_resent_over_a_new_connection() -> None:
    """The resent command could arrive after the end of the run that it began, and start a second one."""

    async def scene(town: Town) -> None:
        town.farm.mute = town.farm.hold = True  # commands are not acknowledged
        first = again(town, 1)
        await running(town, 1)
        assert town.backend.dispatcher.commands.unacknowledged
        town.farm.cut()
        town.farm.mute = False
        assert (await first)[0] == 500 and town.farm.begun == {ident(1): 1}
        assert (await again(town, 2))[0] == 500 and runs(town) == 1

    play_in(Town(keyed()), scene)


@pytest.mark.parametrize("kind", ["book", "pay"])
def test_a_run_that_stopped_without_a_halt_does_not_run_a_second_time(kind: str) -> None:
    async def scene(town: Town) -> None:
        town.farm.hold = True
        first = again(town, 1, kind=kind)
        await running(town, 1)
        town.farm.end(ident(1), "STOPPED")
        assert (await first)[0] == 500 and runs(town) == 1
        town.check()

    play_in(Town(keyed()), scene)


def test_a_caller_that_leaves_while_its_repeat_waits_does_not_affect_the_first() -> None:
    async def scene(town: Town) -> None:
        first = await begun(town, 1)
        side = await Sidecar(town).open()
        side.writer.write(Sidecar.ticket(ident(2), X_Txn_Key="k1"))
        await town.until(lambda: town.counts["had"] == 2)
        raw = side.writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, bytes([1] + [0] * 7))
        side.writer.transport.abort()
        await town.until(lambda: town.counts["gone"] == 1)
        town.farm.go_on(ident(1))
        assert (await first)[0] == 200 and runs(town) == 1
        town.check()

    play_in(Town(keyed()), scene)


# The retry table by itself


def keyed_request(n: int, window: int = 1000, outer: int = 5000, arrived: int = 0) -> OpenRequest:
    arrival = SimpleNamespace(
        id=ident(n), type="book", body=b"b", customer="", sidecar=1, kb=1.0, rank=0.5, key=f"k{n}"
    )
    request = OpenRequest(arrival, None, work_of(arrival, 1, 0))
    kind = SimpleNamespace(idempotency=Idempotency.KEYED, dedup_window=window, deadline=outer)
    request.handle = SimpleNamespace(cls=kind, arrived=arrived)
    return request


class Counted(dict):
    """Counts how many entries are touched."""

    looked = 0

    def get(self, *given: object) -> object:
        Counted.looked += 1
        return super().get(*given)


def test_entries_expire_at_constant_cost_for_each() -> None:
    table = RetryTable(lambda request, result: None)
    for n in range(3000):
        request = keyed_request(n, arrived=n)
        table.run_started(request, n)
        table.run_ended(request, True, True, b"r" * 100)
        table.request_closed(request)
    table.entries, Counted.looked = Counted(table.entries), 0
    for now in range(1000, 6000):
        table.expire(now)
    assert len(table.entries) == len(table.by_request_id) == 3000 and Counted.looked == 0
    table.expire(7000)
    assert len(table.entries) == len(table.by_request_id) == 1999 and Counted.looked == 1001
    table.expire(9000)
    assert not table.entries and not table.by_request_id and not table.expirations


def test_the_entry_of_an_open_request_outlives_its_window_and_goes_with_it() -> None:
    table, first = RetryTable(lambda request, result: None), keyed_request(1)
    table.keep(first, 1000)
    table.run_started(first, 0)
    for now in range(0, 30_000_000, 500_000):
        table.expire(now)
    assert table.find_earlier(keyed_request(1), 29_000_000) == first.id
    table.request_closed(first)
    table.expire(60_000_000)
    assert not table.entries and not table.by_request_id and not table.expirations


def test_removing_and_adding_again_leaves_one_entry_that_expires() -> None:
    told: list = []
    table = RetryTable(lambda request, result: told.append((request.id, result)))
    for n in range(50):
        request = keyed_request(1, arrived=n)
        request.id = ident(n)
        table.keep(request, 1000)
        table.drop(request)
        table.request_closed(request)
    assert not table.entries
    table.expire(7000)
    assert not table.expirations and not told


def test_two_bodies_under_one_key_at_one_time_are_distinguished() -> None:
    table, one, two = RetryTable(lambda request, result: None), keyed_request(1), keyed_request(1)
    two.content = hash(b"other")
    assert table.find_earlier(one, 0) == ""
    with pytest.raises(InvalidRequestError):
        table.find_earlier(two, 0)
    table.expire(0)
    assert table.find_earlier(two, 0) == ""  # the other came at another time, and nothing of it is kept


# As `run` starts the process, with every effect that settings can name


@pytest.mark.parametrize("halt", ["none", "discard", "freeze"])
def test_the_process_serves_with_every_halt_setting(tmp_path: Path, halt: str) -> None:
    async def scene(street: Street) -> None:
        await street.event("ready")
        side: Callable = Sidecar(street).open
        for n, kind in enumerate(("look", "book", "pay")):
            one = await (await side()).ask(Sidecar.ticket(ident(n), kind, X_Txn_Key=f"key {kind}"))
            assert one[0] == 200 and one[2] == street.farm.result(ident(n))
        again = await (await side()).ask(Sidecar.ticket(ident(11), "book", X_Txn_Key="key book"))
        assert again[2] == street.farm.result(ident(1)) and ident(11) not in street.farm.begun
        # A call that fails for good: an answer without it would have a value, but no command asks for one.
        street.below.usual = lambda head, body: reply(500)
        failed = await (await side()).ask(Sidecar.ticket(ident(12), "look", X_Txn_Key="other"))
        assert failed[0] == 500
        street.signal()
        await street.ended()

    settings = keyed(halt=halt, worth_without=[0.5, 0.0, 0.4])
    live_in(Street(tmp_path, settings, stop=1000), scene)


def test_names_with_special_characters_or_common_prefixes_are_distinguished() -> None:
    names = ["dock", "dock-east", "pilot & tow", "ümlaut-line"]
    changed = copy.deepcopy(SETTINGS) | {"realms": [{"name": name, "quota_per_s": 9.0} for name in names]}
    changed["lanes"][1]["name"] = "réserve 1"

    async def scene(town: Town) -> None:
        taken, take = [], town.backend.dispatcher.manager.receive

        def seen(now: int, op_id: str, kind: int, team: int, *more: object) -> object:
            taken.append((kind, team))
            return take(now, op_id, kind, team, *more)

        town.backend.dispatcher.manager.receive = seen
        for n, name in enumerate(names):
            assert (await ask_one(town, n, "pay", X_Merchant=name))[0] == 200
        latin = Sidecar.ticket(ident(8), "pay", X_Merchant="ümlaut-line").decode().encode("latin-1")
        assert (await (await Sidecar(town).open()).ask(latin))[0] == 200
        assert (await ask_one(town, 9, "r%C3%A9serve%201", X_Merchant="dock"))[0] == 200
        for wrong in ("doc", "dock-eas", "DOCK", ""):
            assert (await ask_one(town, 20, "pay", X_Merchant=wrong))[0] == 400
        assert taken == [(2, 0), (2, 1), (2, 2), (2, 3), (2, 3), (1, 0)]
        town.check()

    play_in(Town(changed), scene)
