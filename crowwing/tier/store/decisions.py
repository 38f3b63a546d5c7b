"""What the primary answers to a command, and which events that makes. Pure."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

from crowwing.tier.configuration import Configuration, InvalidConfiguration, RoutingTable, parse_configuration
from crowwing.tier.state import events as e
from crowwing.tier.state.views import TierState
from crowwing.tier.store import commands as c

MOST_PAGE_BYTES = 900_000
DISK_SHARE = 0.7  # of the disk, beyond which no further lots are taken


@dataclass(frozen=True)
class Decision:
    """The events that a command makes, and its outcome once they are kept."""

    events: tuple[Any, ...]
    outcome: Any


def put_configuration(state: TierState, command: c.PutConfiguration) -> Decision:
    """Takes a valid configuration that was built on the newest one; one that was taken is never refused."""
    if state.changes.has_taken(command.base, command.text):
        return Decision((), c.Done())  # the same change again
    parsed = parse_configuration(command.text)
    if isinstance(parsed, InvalidConfiguration):
        return Decision((), c.Rejected(400, f"{parsed.place}: {parsed.reason}"))
    if parsed.version <= state.changes.forgotten:
        return Decision((), c.Unsure(f"version {parsed.version} is too old to tell whether it was taken"))
    if command.base != state.version:
        return Decision((), c.Rejected(412, f"version {state.version} is in place; read it and build on it"))
    if parsed.version <= state.version:
        return Decision((), c.Rejected(400, f"version: must be above {state.version}"))
    return Decision((e.ConfigurationTaken(parsed.version, command.base, command.text),), c.Done())


def get_configuration(state: TierState) -> Decision:
    """The newest configuration."""
    if state.configuration is None:
        return Decision((), c.Missing())
    return Decision((), c.CurrentConfiguration(state.version, state.configuration))


def submit_lot(state: TierState, command: c.SubmitLot, now_ms: int, disk_left: bool) -> Decision:
    """Takes a lot once."""
    if command.lot in state.lots:
        return Decision((), c.Done())
    if not disk_left:
        return Decision((), c.Rejected(503, "the disk is nearly full"))
    taken = e.LotTaken(command.lot, command.host, command.path, command.items, now_ms)
    return Decision((taken,), c.Done())


def read_lot(state: TierState, command: c.ReadLot) -> Decision:
    """Results from a position on, as many as fit in one answer."""
    lot = state.lots.get(command.lot)
    if lot is None:
        return Decision((), c.Missing())
    page: list[e.Result] = []
    size = 0
    for result in lot.results[max(0, command.start) :]:
        size += len(result.text) + len(result.item) + 64
        if page and size > MOST_PAGE_BYTES:
            break
        page.append(result)
    return Decision((), c.LotPage(lot.total, tuple(page)))


def read_body(state: TierState, command: c.ReadBody) -> Decision:
    """The body of an item that has no result yet."""
    lot = state.lots.get(command.lot)
    item = lot.open_items.get(command.item) if lot is not None else None
    return Decision((), c.Missing() if item is None else c.ItemBody(item.body))


def end_lot(state: TierState, command: c.EndLot) -> Decision:
    """Ends a lot; what is listed stays."""
    lot = state.lots.get(command.lot)
    if lot is None:
        return Decision((), c.Missing())
    return Decision(() if lot.ended else (e.LotEnded(command.lot),), c.Done())


def retire(state: TierState, command: c.Retire, witnesses: Collection[str], least: int) -> Decision:
    """Notes that a store machine is to be emptied, if at least so many others go on as witnesses."""
    if command.node in state.retired:
        return Decision((), c.Done())
    if command.node not in state.stores:
        return Decision((), c.Missing())
    left = set(witnesses) - state.retired_hosts() - {state.stores[command.node]}
    if len(left) < least:
        return Decision((), c.Rejected(409, f"fewer than {least} store machines would be left"))
    return Decision((e.RetireAsked(command.node),), c.Done())


def report_item(state: TierState, command: c.ReportItem) -> Decision:
    """Gives an item its one result."""
    lot = state.lots.get(command.lot)
    if lot is None or command.item not in lot.open_items:
        return Decision((), c.Done())
    return Decision((e.ItemsEnded(command.lot, (command.result,)),), c.Done())


def report_failure(
    state: TierState, command: c.ReportFailure, configuration: Configuration | None
) -> Decision:
    """Counts a failed attempt once; the last that its route allows ends the item."""
    lot = state.lots.get(command.lot)
    if lot is None or command.item not in lot.open_items:
        return Decision((), c.Done())
    failures = lot.failures.get(command.item, [])
    if command.attempt in failures:
        return Decision((), c.Done())
    if len(failures) + 1 >= max_attempts(configuration, lot.host, lot.path):
        dead = e.Result(command.item, e.DEAD_LETTER, "")
        return Decision((e.ItemsEnded(command.lot, (dead,)),), c.Done())
    return Decision((e.AttemptFailed(command.lot, command.item, command.attempt),), c.Done())


def max_attempts(configuration: Configuration | None, host: str, path: str) -> int:
    """How many answers of 500 end an item of a lot."""
    route = RoutingTable(configuration).find(host, path) if configuration is not None else None
    return route.max_attempts if route is not None else 1_000_000
