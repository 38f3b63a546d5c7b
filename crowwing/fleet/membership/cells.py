"""Division of the fleet into cells of bounded size, computed alike by every member from the settings. Pure.

The members of a zone are put into cells by a trie over a hash of their names: a cell of more than `max_size`
members is split by the next bit. A cell therefore never spans zones, and adding or removing a member moves
others only where a cell splits or two merge, at most `max_size` + 1 members of one cell. (Dynamic hashing:
Larson, "Dynamic hashing", BIT 1978. A hash ring or a modulus would move members of all cells.)

A cell is named `region/zone/bits`. If the settings of two members differ by one change, a cell of one may be
two cells of the other; their names then have a common prefix, which `covers` uses.

Within a cell members are ranked by another hash. The first `QUORUM_MEMBER_COUNT` by the settings hold
acknowledged updates; the first `SPEAKER_COUNT` of those alive exchange messages with other cells. There is no
election.
"""

from collections.abc import Collection, Iterable, Mapping
from itertools import groupby

import xxhash

QUORUM_MEMBER_COUNT, SPEAKER_COUNT = 5, 3


def covers(prefix: str, cell: str) -> bool:
    """Whether a prefix (`region/`, `region/zone/`, a cell of this or an older copy of the settings) includes
    all of this cell.
    """
    return cell.startswith(prefix)


class CellLayout:
    """Which member is in which cell. Immutable, so it can be shared by many members."""

    def __init__(self, locations: Mapping[str, tuple[str, str]], max_size: int) -> None:
        """`locations`: region and zone of every member; at most `max_size` members per cell, over 1."""
        self.cell_of: dict[str, str] = {}
        self.rosters: dict[str, tuple[str, ...]] = {}  # members by rank
        zones: dict[tuple[str, str], list[str]] = {}
        for name, location in locations.items():
            zones.setdefault(location, []).append(name)
        for (region, zone), names in sorted(zones.items()):
            hashed = sorted((xxhash.xxh64_intdigest(name.encode()), name) for name in names)
            self._split(f"{region}/{zone}/", hashed, 63, max_size)
        self.cells = tuple(sorted(self.rosters))
        # Of the names of the cells
        self.digest = f"{xxhash.xxh64_intdigest(' '.join(self.cells).encode()):016x}"

    def _split(self, cell: str, hashed: list[tuple[int, str]], bit: int, max_size: int) -> None:
        if len(hashed) > max_size and bit >= 0:
            for side in (0, 1):
                part = [item for item in hashed if item[0] >> bit & 1 == side]
                if part:
                    self._split(f"{cell}{side}", part, bit - 1, max_size)
            return
        names = (name for _, name in hashed)
        ranked = sorted(names, key=lambda name: (xxhash.xxh64_intdigest(name.encode(), 1), name))
        self.rosters[cell] = tuple(ranked)
        self.cell_of.update(dict.fromkeys(ranked, cell))

    def peers(self, me: str) -> list[str]:
        """The other members of this member's cell."""
        return [name for name in self.rosters[self.cell_of[me]] if name != me]

    def quorum_members(self, cell: str) -> tuple[str, ...]:
        """Holders of acknowledged updates: by the settings alone, so all agree on them whoever is alive."""
        return self.rosters[cell][:QUORUM_MEMBER_COUNT]

    def speakers(self, cell: str, alive: Collection[str]) -> tuple[str, ...]:
        """Members that exchange messages with other cells, as seen by a member that believes these alive."""
        able = (name for name in self.rosters[cell] if name in alive)
        return tuple(name for name, _ in zip(able, range(SPEAKER_COUNT), strict=False))

    @staticmethod
    def zone_of(cell: str) -> str:
        """`region/zone/`."""
        return cell[: cell.rindex("/") + 1]

    def compact(self, cells: Iterable[str]) -> list[str]:
        """The fewest prefixes that name these cells: a complete region or zone is one prefix."""
        remaining, prefixes = set(cells), []
        for region, of_region in groupby(self.cells, key=lambda cell: cell.split("/")[0]):
            in_region = list(of_region)
            if remaining.issuperset(in_region):
                prefixes.append(f"{region}/")
                continue
            for zone, of_zone in groupby(in_region, key=self.zone_of):
                in_zone = list(of_zone)
                included = [cell for cell in in_zone if cell in remaining]
                prefixes += [zone] if len(included) == len(in_zone) else included
        return prefixes
