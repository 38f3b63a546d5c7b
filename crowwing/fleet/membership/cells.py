"""Cells of bounded size, worked out alike by every member from the settings. Pure.

The members of a zone are put into cells by a trie over a hash of their names: a cell of more than `most`
members is split by the next bit, so a cell never reaches over the edge of a zone, and one member more or less
moves nobody but where a cell splits or two join again: at most `most` + 1 members of one cell. (Dynamic
hashing: Larson, "Dynamic hashing", BIT 1978; a ring or a count of cells by division would move members
of all cells.)

A cell is named `region/zone/bits`. Where two members hold copies of the settings that differ by one change, a
cell of one may be two of the other; the names of those begin alike, which `covers` goes by.

Within a cell members are ranked by another hash. The first `KEEPERS` by settings hold what is acknowledged;
the first `SPEAKERS` of those alive speak with other cells. Nobody is elected.
"""

from collections.abc import Collection, Iterable, Mapping
from itertools import groupby

import xxhash

KEEPERS, SPEAKERS = 5, 3


def covers(word: str, cell: str) -> bool:
    """Whether a word (`region/`, `region/zone/`, a cell of this copy of the settings or an older one) means
    all of this cell.
    """
    return cell.startswith(word)


class Layout:
    """Who is in which cell. One may be shared by many members: nothing in it changes."""

    def __init__(self, places: Mapping[str, tuple[str, str]], most: int) -> None:
        """`places`: every member's region and zone; `most` members a cell, over 1."""
        self.cell_of: dict[str, str] = {}
        self.rosters: dict[str, tuple[str, ...]] = {}  # by rank
        zones: dict[tuple[str, str], list[str]] = {}
        for name, place in places.items():
            zones.setdefault(place, []).append(name)
        for (region, zone), names in sorted(zones.items()):
            hashed = sorted((xxhash.xxh64_intdigest(name.encode()), name) for name in names)
            self._split(f"{region}/{zone}/", hashed, 63, most)
        self.cells = tuple(sorted(self.rosters))
        self.digest = f"{xxhash.xxh64_intdigest(' '.join(self.cells).encode()):016x}"  # of the cells' names

    def _split(self, cell: str, hashed: list[tuple[int, str]], bit: int, most: int) -> None:
        if len(hashed) > most and bit >= 0:
            for side in (0, 1):
                part = [one for one in hashed if one[0] >> bit & 1 == side]
                if part:
                    self._split(f"{cell}{side}", part, bit - 1, most)
            return
        names = (name for _, name in hashed)
        ranked = sorted(names, key=lambda name: (xxhash.xxh64_intdigest(name.encode(), 1), name))
        self.rosters[cell] = tuple(ranked)
        self.cell_of.update(dict.fromkeys(ranked, cell))

    def peers(self, me: str) -> list[str]:
        """The others of this member's cell."""
        return [name for name in self.rosters[self.cell_of[me]] if name != me]

    def keepers(self, cell: str) -> tuple[str, ...]:
        """Who holds what is acknowledged: by settings alone, so that all agree on them whoever is alive."""
        return self.rosters[cell][:KEEPERS]

    def speakers(self, cell: str, alive: Collection[str]) -> tuple[str, ...]:
        """Who speaks with other cells, as one sees it who holds these alive."""
        able = (name for name in self.rosters[cell] if name in alive)
        return tuple(name for name, _ in zip(able, range(SPEAKERS), strict=False))

    @staticmethod
    def zone_of(cell: str) -> str:
        """`region/zone/`."""
        return cell[: cell.rindex("/") + 1]

    def short(self, cells: Iterable[str]) -> list[str]:
        """These cells in as few words as can be: a whole region or zone is one."""
        out, words = set(cells), []
        for region, of_region in groupby(self.cells, key=lambda cell: cell.split("/")[0]):
            mine = list(of_region)
            if out.issuperset(mine):
                words.append(f"{region}/")
                continue
            for zone, of_zone in groupby(mine, key=self.zone_of):
                inside = list(of_zone)
                gone = [cell for cell in inside if cell in out]
                words += [zone] if len(gone) == len(inside) else gone
        return words
