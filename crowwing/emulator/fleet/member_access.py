"""The only module of the test harness that accesses the internals of a fleet member.

Stub members and the scale benchmark use these functions, so a member's structure can change without them.
"""

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from types import SimpleNamespace

import msgspec

from crowwing.emulator.fleet.topology import Location
from crowwing.fleet.adapters import full_transfer
from crowwing.fleet.adapters.settings import member_settings
from crowwing.fleet.member import Member, MemberSettings
from crowwing.fleet.membership.cells import CellLayout, covers
from crowwing.fleet.membership.swim import GONE
from crowwing.fleet.state.keyspaces import KEYSPACES
from crowwing.settings.operator import Fleet

MemberFactory = Callable[[str, int, random.Random], Member]


def settings(fleet: Mapping) -> SimpleNamespace:
    """Completes the given fleet settings with defaults."""
    required = {"listen": "127.0.0.1:1", "peers": [{"name": "x", "address": "127.0.0.1:2"}]}
    section = msgspec.convert(required | dict(fleet), Fleet)
    return SimpleNamespace(**{name: getattr(section, name) for name in Fleet.__struct_fields__})


def layout(locations: Mapping[str, Location] | None, fleet: Mapping) -> CellLayout | None:
    """Returns the layout of cells; None for a flat fleet, whose members have no locations."""
    return None if locations is None else CellLayout(locations, settings(fleet).cell_most)


def member_factory(names: Sequence[str], shared: CellLayout | None, fleet: Mapping) -> MemberFactory:
    """Returns `make(name, now, rng)` for members of one fleet; all members in a process share the layout."""
    settings_of_members: MemberSettings = member_settings(settings(fleet))

    def make(name: str, now: int, rng: random.Random) -> Member:
        others = [other for other in names if other != name]
        return Member(name, others, now, rng, settings_of_members, KEYSPACES, shared)

    return make


def mark_caught_up(member: Member) -> None:
    """Puts a new member in the state of one that has run for long and has caught up."""
    member.catch_up.started_at = None
    member.was_ready = True
    member.catch_up.was_isolated = False


def transfer_server(missing: Callable, known: Callable[[str], bool]) -> full_transfer.Server:
    return full_transfer.Server(missing, known)


def transfer_request(member: Member) -> dict:
    """Returns the request for a full transfer."""
    return {"from": member.me, **member.digests()}


def put(member: Member, wall_time: int, key: str, value: object, ttl: int) -> None:
    """Puts an entry; EntryRejectedError if it cannot be stored."""
    member.dissemination_of(key).put(wall_time, key, value, ttl)


def holds(member: Member, key: str) -> bool:
    return key in member.dissemination_of(key).replica.entries


def changes(member: Member) -> int:
    """Returns a number that changes whenever the stored entries do."""
    return member.changes()


def periods(member: Member) -> int:
    """Returns the number of protocol periods completed."""
    return member.membership.periods


def is_speaker(member: Member) -> bool:
    """Returns whether the member is currently a speaker of its cell."""
    return member.reachability is not None and member.reachability.speaks


def initial_speakers(shared: CellLayout | None) -> frozenset[str]:
    """Returns the speakers of all cells while every member is alive."""
    if shared is None:
        return frozenset()
    rosters = shared.rosters.items()
    return frozenset(name for cell, roster in rosters for name in shared.speakers(cell, set(roster)))


def cells(names: Sequence[str], shared: CellLayout | None) -> list[list[str]]:
    """Returns the groups whose members probe each other: a single group if there are no cells."""
    return [list(names)] if shared is None else [list(roster) for roster in shared.rosters.values()]


def reports_cell_out(fields: Mapping, cell: str) -> bool:
    """Returns whether an event `cells_out` reports this cell as unreachable."""
    return any(covers(prefix, cell) for prefix in fields["cells"])


def dead_cells(shared: CellLayout | None, down: Collection[str]) -> set[str]:
    """Returns the cells whose members are all down."""
    if shared is None:
        return set()
    return {cell for cell, roster in shared.rosters.items() if all(name in down for name in roster)}


def count_mistakes(member: Member, down: Collection[str], dead: Collection[str]) -> int:
    """Counts the wrong entries of a member's view: probed members and cells with the wrong state.

    `down` are the members and `dead` the cells that are really down.
    """
    watched = member.membership.members.values()
    mistakes = sum((one.state in GONE) != (one.name in down) for one in watched)
    return mistakes + len(member.unreachable_cells() ^ frozenset(dead))
