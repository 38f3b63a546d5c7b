"""The one place where hollow members and the scale run touch the pure member's insides.

Everything else goes by the names here, so that what a member is made of (one flat fleet, or cells) can change
without the harness.
"""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import SimpleNamespace

import msgspec

from crowwing.emulator.fleet.places import Place
from crowwing.fleet.member import Manner, Member
from crowwing.fleet.membership.swim import GONE
from crowwing.fleet.state.spaces import SPACES
from crowwing.fleet.wires import whole
from crowwing.fleet.wires.link import manner
from crowwing.settings.operator import Fleet

Make = Callable[[str, int, random.Random], Member]


def settings(fleet: Mapping) -> SimpleNamespace:
    """A whole fleet section: what is given, and the defaults of the rest."""
    least = {"listen": "127.0.0.1:1", "peers": [{"name": "x", "address": "127.0.0.1:2"}]}
    whole_section = msgspec.convert(least | dict(fleet), Fleet)
    return SimpleNamespace(**{name: getattr(whole_section, name) for name in Fleet.__struct_fields__})


def maker(names: Sequence[str], places: Mapping[str, Place] | None, fleet: Mapping) -> Make:
    """`make(name, now, chance)` for members of one fleet; `places` None: a flat one."""
    if places is not None:
        raise NotImplementedError("this fleet has no cells")
    how: Manner = manner(settings(fleet))

    def make(name: str, now: int, chance: random.Random) -> Member:
        return Member(name, [other for other in names if other != name], now, chance, how, SPACES)

    return make


def warm(member: Member) -> None:
    """As one of a fleet that runs long since: caught up."""
    member.catch_up.began = None
    member.was_ready = True
    member.catch_up.was_away = False


def server(missing: Callable, known: Callable[[str], bool]) -> whole.Server:
    return whole.Server(missing, known)


def put(member: Member, wall: int, key: str, value: object, life: int) -> None:
    """NotKept where it cannot be."""
    member.spread.put(wall, key, value, life)


def holds(member: Member, key: str) -> bool:
    return key in member.copies.entries


def changes(member: Member) -> int:
    """A number that moves whenever what is kept does."""
    return member.copies.changes


def periods(member: Member) -> int:
    """Protocol periods that went by."""
    return member.membership.periods


def cell(name: str, names: Sequence[str], places: Mapping[str, Place] | None, fleet: Mapping) -> list[str]:
    """Those who watch over `name`, itself left out."""
    return [other for other in names if other != name]


def wrong(member: Member, gone: Iterable[str]) -> int:
    """Members that it holds for gone and are not, or the other way round."""
    gone = set(gone)
    return sum((one.state in GONE) != (one.name in gone) for one in member.membership.members.values())
