"""What the primary answers to a command, and which events that makes. Pure."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

from crowwing.tier.configuration import Configuration, InvalidConfiguration, RoutingTable, parse_configuration
from crowwing.tier.state import events
from crowwing.tier.state.views import TierState
from crowwing.tier.store import commands

MOST_PAGE_BYTES = 900_000
DISK_SHARE = 0.7  # of the disk, beyond which no further lots are taken


@dataclass(frozen=True)
class Decision:
    """The events that a command makes, and its outcome once they are kept."""

    events: tuple[Any, ...]
    outcome: Any


def put_configuration(state: TierState, command: commands.PutConfiguration) -> Decision:
    """Takes a valid configuration that was built on the newest one; one that was taken is never refused."""
    if state.changes.has_taken(command.base, command.text):
        return Decision((), commands.Done())  # the same change again
    parsed = parse_configuration(command.text)
    if isinstance(parsed, InvalidConfiguration):
        return Decision((), commands.Rejected(400, f"{parsed.location}: {parsed.reason}"))
    if parsed.version <= state.changes.forgotten:
        return Decision(
            (), commands.Indeterminate(f"version {parsed.version} is too old to tell whether it was taken")
        )
    if command.base != state.version:
        return Decision(
            (), commands.Rejected(412, f"version {state.version} is in place; read it and build on it")
        )
    if parsed.version <= state.version:
        return Decision((), commands.Rejected(400, f"version: must be above {state.version}"))
    return Decision(
        (events.ConfigurationAccepted(parsed.version, command.base, command.text),), commands.Done()
    )


def get_configuration(state: TierState) -> Decision:
    """The newest configuration."""
    if state.configuration is None:
        return Decision((), commands.NotFound())
    return Decision((), commands.CurrentConfiguration(state.version, state.configuration))


def submit_batch_job(
    state: TierState, command: commands.SubmitBatchJob, now_ms: int, disk_left: bool
) -> Decision:
    """Takes a lot once."""
    if command.job_id in state.jobs:
        return Decision((), commands.Done())
    if not disk_left:
        return Decision((), commands.Rejected(503, "the disk is nearly full"))
    taken = events.BatchJobAccepted(command.job_id, command.host, command.path, command.items, now_ms)
    return Decision((taken,), commands.Done())


def read_batch_job(state: TierState, command: commands.ReadBatchJob) -> Decision:
    """Results from a position on, as many as fit in one answer."""
    job = state.jobs.get(command.job_id)
    if job is None:
        return Decision((), commands.NotFound())
    page: list[events.ItemResult] = []
    size = 0
    for result in job.results[max(0, command.start) :]:
        size += len(result.text) + len(result.item) + 64
        if page and size > MOST_PAGE_BYTES:
            break
        page.append(result)
    return Decision((), commands.BatchJobPage(job.total, tuple(page)))


def read_item_body(state: TierState, command: commands.ReadItemBody) -> Decision:
    """The body of an item that has no result yet."""
    job = state.jobs.get(command.job_id)
    item = job.open_items.get(command.item) if job is not None else None
    return Decision((), commands.NotFound() if item is None else commands.ItemBody(item.body))


def end_batch_job(state: TierState, command: commands.EndBatchJob) -> Decision:
    """Ends a lot; what is listed stays."""
    job = state.jobs.get(command.job_id)
    if job is None:
        return Decision((), commands.NotFound())
    return Decision(() if job.ended else (events.BatchJobEnded(command.job_id),), commands.Done())


def retire(
    state: TierState, command: commands.RetireStore, witnesses: Collection[str], least: int
) -> Decision:
    """Notes that a store machine is to be emptied, if at least so many others go on as witnesses."""
    if command.node in state.retired:
        return Decision((), commands.Done())
    if command.node not in state.stores:
        return Decision((), commands.NotFound())
    left = set(witnesses) - state.retired_hosts() - {state.stores[command.node]}
    if len(left) < least:
        return Decision((), commands.Rejected(409, f"fewer than {least} store machines would be left"))
    return Decision((events.RetireRequested(command.node),), commands.Done())


def report_item(state: TierState, command: commands.ReportItemResult) -> Decision:
    """Gives an item its one result."""
    job = state.jobs.get(command.job_id)
    if job is None or command.item not in job.open_items:
        return Decision((), commands.Done())
    return Decision((events.ItemsCompleted(command.job_id, (command.result,)),), commands.Done())


def report_failure(
    state: TierState, command: commands.ReportItemFailure, configuration: Configuration | None
) -> Decision:
    """Counts a failed attempt once; the last that its route allows ends the item."""
    job = state.jobs.get(command.job_id)
    if job is None or command.item not in job.open_items:
        return Decision((), commands.Done())
    failures = job.failures.get(command.item, [])
    if command.attempt in failures:
        return Decision((), commands.Done())
    if len(failures) + 1 >= max_attempts(configuration, job.host, job.path):
        dead = events.ItemResult(command.item, events.DEAD_LETTER, "")
        return Decision((events.ItemsCompleted(command.job_id, (dead,)),), commands.Done())
    return Decision((events.AttemptFailed(command.job_id, command.item, command.attempt),), commands.Done())


def max_attempts(configuration: Configuration | None, host: str, path: str) -> int:
    """How many answers of 500 end an item of a lot."""
    route = RoutingTable(configuration).find(host, path) if configuration is not None else None
    return route.max_attempts if route is not None else 1_000_000
