"""Lots: what was taken is kept, each item has one position, and what was read stays."""

from tests.tier.simulation.history import History

SETTLE_S = 1.0  # settleMs


def check_lots(history: History) -> list[str]:
    """What breaks the promise of lots."""
    return [
        *_check_kept(history),
        *_check_positions(history),
        *_check_refused(history),
        *_check_contents(history),
    ]


def _taken_at(history: History) -> dict[str, float]:
    taken: dict[str, float] = {}
    for call in history.calls:
        if call.kind == "submit" and call.status == 202:
            taken.setdefault(call.key, call.ended_at)
    return taken


def _check_kept(history: History) -> list[str]:
    """No 404 for a lot after its 202, nor for a body of an item that has no result."""
    broken = []
    taken = _taken_at(history)
    for call in history.calls:
        if (
            call.kind in ("read", "end")
            and call.status in (404, 410)
            and not call.client.startswith("operator")
        ):
            lot = call.key.split(" ")[0]
            if taken.get(lot, float("inf")) < call.sent_at:
                broken.append(f"{call.sent_at:.3f}: {call.kind} of {lot} was answered {call.status}")
    return broken


def _check_positions(history: History) -> list[str]:
    """A position keeps its result, an item has one position, and what was read is there again."""
    broken = []
    positions: dict[tuple[str, int], tuple[str, str, str]] = {}
    places: dict[str, tuple[str, int]] = {}
    read_at: dict[str, list[tuple[float, int]]] = {}
    for call in sorted(history.calls, key=lambda call: call.ended_at):
        if call.kind != "read" or call.client.startswith("operator") or call.value is None:
            continue
        lot, start_text = call.key.split(" ")
        start, (total, results) = int(start_text), call.value
        if total != len(history.lots[lot]):
            broken.append(f"{lot}: total {total} of {len(history.lots[lot])}")
        for place, result in enumerate(results, start):
            if positions.setdefault((lot, place), result) != result:
                broken.append(f"{lot} position {place}: {result} after {positions[lot, place]}")
            if places.setdefault(result[0], (lot, place)) != (lot, place):
                broken.append(f"item {result[0]} stands at {place} and at {places[result[0]]}")
            if result[0] not in history.lots[lot]:
                broken.append(f"{lot} lists {result[0]}, which is another's")
        known = max((end for at, end in read_at.get(lot, []) if at < call.sent_at - SETTLE_S), default=0)
        if start < known and not results:
            broken.append(f"{call.sent_at:.3f}: {lot} has nothing at {start}, though {known} were read")
        if results:
            read_at.setdefault(lot, []).append((call.ended_at, start + len(results)))
    return broken


def _check_refused(history: History) -> list[str]:
    """Nothing runs of a lot all tries of which were refused."""
    statuses: dict[str, list[int | None]] = {}
    for call in history.calls:
        if call.kind == "submit":
            statuses.setdefault(call.key, []).append(call.status)
    refused = {lot for lot, told in statuses.items() if all(status in (429, 503) for status in told)}
    return [f"{at:.3f}: {item} ran, its lot was refused" for at, lot, item in history.runs if lot in refused]


def _check_contents(history: History) -> list[str]:
    """A body comes back as it was handed in."""
    broken = []
    for call in history.calls:
        if call.kind == "body" and call.value is not None:
            if call.value.replace(call.key.encode(), b"") or not call.value:
                broken.append(f"the body of {call.key} came back as {call.value[:60]!r}")
    return broken


def check_read_back(history: History, found: dict[str, int | None]) -> list[str]:
    """At the end each lot that was taken can be read; `found` has the status of a read of each."""
    return [
        f"{lot} can't be read at the end: {found.get(lot)}"
        for lot in _taken_at(history)
        if found.get(lot) != 200
    ]
