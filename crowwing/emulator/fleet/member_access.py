"""The one place where hollow members and the scale run touch the pure member's insides.

Everything else goes by the names here, so that what a member is made of can change without the harness.
"""

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from types import SimpleNamespace

import msgspec

from crowwing.emulator.fleet.topology import Location
from crowwing.fleet.member import Member, MemberSettings
from crowwing.fleet.membership.cells import CellLayout, covers
from crowwing.fleet.membership.swim import GONE
from crowwing.fleet.state.keyspaces import KEYSPACES
from crowwing.fleet.adapters import full_transfer
from crowwing.fleet.adapters.settings import member_settings
from crowwing.settings.operator import Fleet

MemberFactory = Callable[[str, int, random.Random], Member]


def settings(fleet: Mapping) -> SimpleNamespace:
    """A whole fleet section: what is given, and the defaults of the rest."""
    required = {"listen": "127.0.0.1:1", "peers": [{"name": "x", "address": "127.0.0.1:2"}]}
    section = msgspec.convert(required | dict(fleet), Fleet)
    return SimpleNamespace(**{name: getattr(section, name) for name in Fleet.__struct_fields__})


def layout(locations: Mapping[str, Location] | None, fleet: Mapping) -> CellLayout | None:
    """None for a flat fleet, which has no places."""
    return None if locations is None else CellLayout(locations, settings(fleet).cell_most)


def member_factory(names: Sequence[str], shared: CellLayout | None, fleet: Mapping) -> MemberFactory:
    """`make(name, now, chance)` for members of one fleet, whose layout all of a process share."""
    settings_of_members: MemberSettings = member_settings(settings(fleet))

    def make(name: str, now: int, rng: random.Random) -> Member:
        others = [other for other in names if other != name]
        return Member(name, others, now, rng, settings_of_members, KEYSPACES, shared)

    return make


def mark_caught_up(member: Member) -> None:
    """As one of a fleet that runs long since: caught up."""
    member.catch_up.started_at = None
    member.was_ready = True
    member.catch_up.was_isolated = False


def transfer_server(missing: Callable, known: Callable[[str], bool]) -> full_transfer.Server:
    return full_transfer.Server(missing, known)


def transfer_request(member: Member) -> dict:
    """The line that asks for a whole copy."""
    return {"from": member.me, **member.digests()}


def put(member: Member, wall: int, key: str, value: object, ttl: int) -> None:
    """EntryRejectedError where it cannot be."""
    member.dissemination_of(key).put(wall, key, value, ttl)


def holds(member: Member, key: str) -> bool:
    return key in member.dissemination_of(key).replica.entries


def changes(member: Member) -> int:
    """A number that moves whenever what is kept does."""
    return member.changes()


def periods(member: Member) -> int:
    """Protocol periods that went by."""
    return member.membership.periods


def is_speaker(member: Member) -> bool:
    """Whether it speaks for its cell now."""
    return member.reachability is not None and member.reachability.speaks


def initial_speakers(shared: CellLayout | None) -> frozenset[str]:
    """Who speaks for its cell while all are alive."""
    if shared is None:
        return frozenset()
    rosters = shared.rosters.items()
    return frozenset(name for cell, roster in rosters for name in shared.speakers(cell, set(roster)))


def cells(names: Sequence[str], shared: CellLayout | None) -> list[list[str]]:
    """Groups whose members watch over one another: one group where there are no cells."""
    return [list(names)] if shared is None else [list(roster) for roster in shared.rosters.values()]


def reports_cell_out(brings: Mapping, cell: str) -> bool:
    """Whether an event `cells_out` says that this cell is out of reach."""
    return any(covers(prefix, cell) for prefix in brings["cells"])


def dead_cells(shared: CellLayout | None, down: Collection[str]) -> set[str]:
    """Cells all of whose members are off."""
    if shared is None:
        return set()
    return {cell for cell, roster in shared.rosters.items() if all(name in down for name in roster)}


def count_mistakes(member: Member, down: Collection[str], dead: Collection[str]) -> int:
    """Members that it watches over and holds for gone where they are not, or the other way round; and cells
    out of reach alike (`dead`: those that are)."""
    watched = member.membership.members.values()
    mistakes = sum((one.state in GONE) != (one.name in down) for one in watched)
    return mistakes + len(member.unreachable_cells() ^ frozenset(dead))
