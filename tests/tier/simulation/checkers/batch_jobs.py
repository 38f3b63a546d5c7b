"""Batch jobs: accepted jobs are retained, each item has one position, results that were read stay."""

from tests.tier.simulation.history import History

MAX_READ_LAG_S = 1.0  # settleMs


def check_batch_jobs(history: History) -> list[str]:
    """All violations."""
    return [
        *_check_retained(history),
        *_check_positions(history),
        *_check_refused(history),
        *_check_contents(history),
    ]


def _accepted_at(history: History) -> dict[str, float]:
    accepted: dict[str, float] = {}
    for call in history.calls:
        if call.kind == "submit" and call.status == 202:
            accepted.setdefault(call.key, call.ended_at)
    return accepted


def _check_retained(history: History) -> list[str]:
    """No 404 or 410 for a job after its 202."""
    violations = []
    accepted = _accepted_at(history)
    for call in history.calls:
        if (
            call.kind in ("read", "end")
            and call.status in (404, 410)
            and not call.client.startswith("operator")
        ):
            job = call.key.split(" ")[0]
            if accepted.get(job, float("inf")) < call.sent_at:
                violations.append(f"{call.sent_at:.3f}: {call.kind} of {job} was answered {call.status}")
    return violations


def _check_positions(history: History) -> list[str]:
    """A position keeps its result, an item has one position, and results that were read stay readable."""
    violations = []
    positions: dict[tuple[str, int], tuple[str, str, str]] = {}
    positions_of_items: dict[str, tuple[str, int]] = {}
    read_at: dict[str, list[tuple[float, int]]] = {}
    for call in sorted(history.calls, key=lambda call: call.ended_at):
        if call.kind != "read" or call.client.startswith("operator") or call.value is None:
            continue
        job, start_text = call.key.split(" ")
        start, (total, results) = int(start_text), call.value
        if total != len(history.jobs[job]):
            violations.append(f"{job}: total {total} of {len(history.jobs[job])}")
        for position, result in enumerate(results, start):
            if positions.setdefault((job, position), result) != result:
                violations.append(f"{job} position {position}: {result} after {positions[job, position]}")
            if positions_of_items.setdefault(result[0], (job, position)) != (job, position):
                violations.append(f"item {result[0]} is at {position} and at {positions_of_items[result[0]]}")
            if result[0] not in history.jobs[job]:
                violations.append(f"{job} lists {result[0]}, which belongs to another job")
        known = max(
            (end for at, end in read_at.get(job, []) if at < call.sent_at - MAX_READ_LAG_S), default=0
        )
        if start < known and not results:
            violations.append(f"{call.sent_at:.3f}: {job} has nothing at {start}, though {known} were read")
        if results:
            read_at.setdefault(job, []).append((call.ended_at, start + len(results)))
    return violations


def _check_refused(history: History) -> list[str]:
    """No item runs of a job whose submissions were all rejected."""
    statuses: dict[str, list[int | None]] = {}
    for call in history.calls:
        if call.kind == "submit":
            statuses.setdefault(call.key, []).append(call.status)
    refused = {job for job, answers in statuses.items() if all(status in (429, 503) for status in answers)}
    return [f"{at:.3f}: {item} ran, its job was rejected" for at, job, item in history.runs if job in refused]


def _check_contents(history: History) -> list[str]:
    """The body of an item is read as it was submitted."""
    violations = []
    for call in history.calls:
        if call.kind != "body" or call.value is None:
            continue
        if call.value.replace(call.key.encode(), b"") or not call.value:
            violations.append(f"the body of {call.key} came back as {call.value[:60]!r}")
    return violations


def check_read_back(history: History, found: dict[str, int | None]) -> list[str]:
    """At the end each accepted job can be read; `found` has the status of a read of each."""
    return [
        f"{job} can't be read at the end: {found.get(job)}"
        for job in _accepted_at(history)
        if found.get(job) != 200
    ]
