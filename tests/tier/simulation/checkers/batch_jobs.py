"""Lots: what was taken is kept, each item has one position, and what was read stays."""

from tests.tier.simulation.history import History

SETTLE_S = 1.0  # settleMs


def check_batch_jobs(history: History) -> list[str]:
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
            job = call.key.split(" ")[0]
            if taken.get(job, float("inf")) < call.sent_at:
                broken.append(f"{call.sent_at:.3f}: {call.kind} of {job} was answered {call.status}")
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
        job, start_text = call.key.split(" ")
        start, (total, results) = int(start_text), call.value
        if total != len(history.jobs[job]):
            broken.append(f"{job}: total {total} of {len(history.jobs[job])}")
        for place, result in enumerate(results, start):
            if positions.setdefault((job, place), result) != result:
                broken.append(f"{job} position {place}: {result} after {positions[job, place]}")
            if places.setdefault(result[0], (job, place)) != (job, place):
                broken.append(f"item {result[0]} stands at {place} and at {places[result[0]]}")
            if result[0] not in history.jobs[job]:
                broken.append(f"{job} lists {result[0]}, which is another's")
        known = max((end for at, end in read_at.get(job, []) if at < call.sent_at - SETTLE_S), default=0)
        if start < known and not results:
            broken.append(f"{call.sent_at:.3f}: {job} has nothing at {start}, though {known} were read")
        if results:
            read_at.setdefault(job, []).append((call.ended_at, start + len(results)))
    return broken


def _check_refused(history: History) -> list[str]:
    """Nothing runs of a lot all tries of which were refused."""
    statuses: dict[str, list[int | None]] = {}
    for call in history.calls:
        if call.kind == "submit":
            statuses.setdefault(call.key, []).append(call.status)
    refused = {job for job, told in statuses.items() if all(status in (429, 503) for status in told)}
    return [f"{at:.3f}: {item} ran, its lot was refused" for at, job, item in history.runs if job in refused]


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
        f"{job} can't be read at the end: {found.get(job)}"
        for job in _taken_at(history)
        if found.get(job) != 200
    ]
