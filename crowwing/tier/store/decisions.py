"""Pure functions that map the state and a command to events and an outcome.

The primary's node (`node.py`) proposes the events and returns the outcome once they are committed.
"""

from collections.abc import Collection
from dataclasses import dataclass

from crowwing.tier.configuration import Configuration, InvalidConfiguration, RoutingTable, parse_configuration
from crowwing.tier.state import events
from crowwing.tier.state.batch_jobs import BatchJob
from crowwing.tier.state.tier_state import TierState
from crowwing.tier.store import commands, outcomes

MAX_PAGE_BYTES = 900_000  # limit for the results in one page
RESULT_OVERHEAD_BYTES = 64  # per result in a page, in addition to its strings
UNBOUNDED_ATTEMPTS = 1_000_000  # used if no route matches
MAX_WAIT_MARGIN_S = 5.0  # added to a route's maxWaitS to allow for clock skew


@dataclass(frozen=True)
class Decision:
    """The events that a command produces, and its outcome once they are committed.

    Attributes:
        events: The events to propose.
        outcome: The response to the caller.
        depends_on_state: False if the outcome holds regardless of the state, so that it can be returned
            without waiting for a commit.
    """

    events: tuple[events.Event, ...]
    outcome: outcomes.Outcome
    depends_on_state: bool = True


DONE = Decision((), outcomes.Done())
NOT_FOUND = Decision((), outcomes.NotFound())


def _rejected(status: int, reason: str) -> Decision:
    return Decision((), outcomes.Rejected(status, reason))


def _overloaded(reason: str) -> Decision:
    return Decision((), outcomes.Rejected(503, reason), depends_on_state=False)


def put_configuration(state: TierState, command: commands.PutConfiguration) -> Decision:
    """Accepts a valid configuration that is based on the newest one.

    A change that was already accepted is acknowledged again and never rejected, because the first response
    may have been lost. If the change is too old to tell, the outcome is indeterminate.
    """
    if state.changes.has_accepted(command.base, command.text):
        return DONE
    parsed = parse_configuration(command.text)
    if isinstance(parsed, InvalidConfiguration):
        return _rejected(400, f"{parsed.location}: {parsed.reason}")
    if parsed.version <= state.changes.last_evicted_version:
        reason = f"version {parsed.version} is too old to tell whether it was taken"
        return Decision((), outcomes.Indeterminate(reason))
    if command.base != state.version:
        return _rejected(412, f"version {state.version} is in place; read it and build on it")
    if parsed.version <= state.version:
        return _rejected(400, f"version: must be above {state.version}")
    accepted = events.ConfigurationAccepted(parsed.version, command.base, command.text)
    return Decision((accepted,), outcomes.Done())


def get_configuration(state: TierState) -> Decision:
    """Reads the newest configuration."""
    if state.configuration is None:
        return NOT_FOUND
    return Decision((), outcomes.CurrentConfiguration(state.version, state.configuration))


def submit_batch_job(
    state: TierState,
    command: commands.SubmitBatchJob,
    now_ms: int,
    has_disk_capacity: bool,
    has_write_capacity: bool = True,
) -> Decision:
    """Accepts a batch job, once per id.

    A rejection for lack of capacity guarantees that nothing was stored and none of the job will run.

    Args:
        state: The current state.
        command: The job.
        now_ms: The primary's wall-clock time, in milliseconds.
        has_disk_capacity: Whether the primary's disk has capacity for further jobs.
        has_write_capacity: Whether the members keep up with the entries proposed so far.
    """
    if command.job_id in state.jobs:
        return DONE
    if not has_disk_capacity:
        return _overloaded("the disk is nearly full")
    if not has_write_capacity:
        return _overloaded("too much waits to be committed")
    accepted = events.BatchJobAccepted(command.job_id, command.host, command.path, command.items, now_ms)
    return Decision((accepted,), outcomes.Done())


def read_batch_job(state: TierState, command: commands.ReadBatchJob) -> Decision:
    """Reads results from a position on: as many as fit in MAX_PAGE_BYTES, but at least one."""
    job = state.jobs.get(command.job_id)
    if job is None:
        return NOT_FOUND
    page: list[events.ItemResult] = []
    page_bytes = 0
    for result in job.results[max(0, command.start) :]:
        page_bytes += len(result.text) + len(result.item) + RESULT_OVERHEAD_BYTES
        if page and page_bytes > MAX_PAGE_BYTES:
            break
        page.append(result)
    return Decision((), outcomes.BatchJobPage(job.total, tuple(page)))


def read_item_body(state: TierState, command: commands.ReadItemBody) -> Decision:
    """Reads the body of an item that has no result yet."""
    job = state.jobs.get(command.job_id)
    item = job.open_items.get(command.item) if job is not None else None
    return NOT_FOUND if item is None else Decision((), outcomes.ItemBody(item.body))


def end_batch_job(state: TierState, command: commands.EndBatchJob) -> Decision:
    """Ends a batch job; its results are kept."""
    job = state.jobs.get(command.job_id)
    if job is None:
        return NOT_FOUND
    if job.ended:
        return DONE
    return Decision((events.BatchJobEnded(command.job_id),), outcomes.Done())


def register_store(state: TierState, command: commands.RegisterStore) -> Decision:
    """Registers the name and address of a store machine unless the state already has them."""
    if state.stores.get(command.node) == command.host:
        return DONE
    return Decision((events.StoreRegistered(command.node, command.host),), outcomes.Done())


def retire_store(
    state: TierState, command: commands.RetireStore, available: Collection[str], min_witnesses: int
) -> Decision:
    """Starts decommissioning a store machine if at least `min_witnesses` others can be witnesses.

    Args:
        state: The current state.
        command: The machine.
        available: The addresses of the view's witnesses and of the spares that respond.
        min_witnesses: The number of witnesses that the configured fault tolerance requires.
    """
    if command.node in state.retired:
        return DONE
    if command.node not in state.stores:
        return NOT_FOUND
    remaining = set(available) - state.retired_hosts() - {state.stores[command.node]}
    if len(remaining) < min_witnesses:
        return _rejected(409, f"fewer than {min_witnesses} store machines would be left")
    return Decision((events.RetireRequested(command.node),), outcomes.Done())


def read_retirement(
    state: TierState, node: str, members: Collection[str], witnesses: Collection[str], min_members: int
) -> Decision:
    """Reads whether a store machine can be switched off.

    It must have left the view, and the data must be on as many members as the fault tolerance requires,
    because its own replica counted as one of them until then.
    """
    if node not in state.retired:
        return NOT_FOUND
    host = state.stores.get(node)
    has_left = host not in members and host not in witnesses
    is_replicated = len(members) >= min_members
    return Decision((), outcomes.RetirementStatus(has_left and is_replicated))


def report_item(state: TierState, command: commands.ReportItemResult) -> Decision:
    """Records the result of an item; later results for the same item are ignored."""
    if not _is_open(state, command.job_id, command.item):
        return DONE
    return Decision((events.ItemsCompleted(command.job_id, (command.result,)),), outcomes.Done())


def report_failure(
    state: TierState, command: commands.ReportItemFailure, configuration: Configuration | None
) -> Decision:
    """Counts a failed attempt once; the last one that the job's route allows dead-letters the item."""
    if not _is_open(state, command.job_id, command.item):
        return DONE
    job = state.jobs[command.job_id]
    failures = job.failures.get(command.item, [])
    if command.attempt in failures:
        return DONE
    if len(failures) + 1 >= max_attempts(configuration, job.host, job.path):
        return Decision((_dead_letters(job, (command.item,)),), outcomes.Done())
    failed = events.AttemptFailed(command.job_id, command.item, command.attempt)
    return Decision((failed,), outcomes.Done())


def _is_open(state: TierState, job_id: str, item: str) -> bool:
    job = state.jobs.get(job_id)
    return job is not None and item in job.open_items


def _dead_letters(job: BatchJob, items: Collection[str]) -> events.ItemsCompleted:
    results = tuple(events.ItemResult(item, events.DEAD_LETTER, "") for item in items)
    return events.ItemsCompleted(job.id, results)


def max_attempts(configuration: Configuration | None, host: str, path: str) -> int:
    """The number of attempts ending with a 500 after which an item of a job is dead-lettered."""
    route = RoutingTable(configuration).find(host, path) if configuration is not None else None
    return route.max_attempts if route is not None else UNBOUNDED_ATTEMPTS


def expire_jobs(
    state: TierState, configuration: Configuration | None, now_ms: int, retention_s: float
) -> Decision:
    """Removes jobs past their retention, and dead-letters items that have waited too long.

    Args:
        state: The current state.
        configuration: The configuration whose routes limit the wait of items by `maxWaitS`.
        now_ms: The primary's wall-clock time, in milliseconds.
        retention_s: How long a completed job can be read after it was accepted.
    """
    new_events: list[events.Event] = []
    routes = RoutingTable(configuration) if configuration is not None else None
    for job in state.jobs.values():
        age_s = (now_ms - job.at_ms) / 1000
        if job.done and age_s > retention_s:
            new_events.append(events.BatchJobRemoved(job.id))
        elif not job.done and routes is not None and _has_waited_too_long(job, routes, age_s):
            new_events.append(_dead_letters(job, job.open_items))
    return Decision(tuple(new_events), outcomes.Done())


def _has_waited_too_long(job: BatchJob, routes: RoutingTable, age_s: float) -> bool:
    """Also true if the configuration no longer has a route for the job, since nothing could run it."""
    route = routes.find(job.host, job.path)
    if route is None:
        return True
    return route.max_wait_s is not None and age_s > route.max_wait_s + MAX_WAIT_MARGIN_S
