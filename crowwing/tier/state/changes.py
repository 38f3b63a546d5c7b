"""The accepted configuration changes, kept so that the retry of a change is acknowledged again."""

from collections.abc import Sequence

from crowwing.tier.replication.ranges import digest_of

MAX_REMEMBERED_CHANGES = 4096  # each takes under 32 bytes on disk, version and digest together

# The newest evicted version, the remembered versions, and their digests concatenated.
PlainChanges = tuple[int, Sequence[int], bytes]


class AcceptedChanges:
    """The most recently accepted changes by version, each with a digest of its base version and its text.

    An operator whose response was lost sends the same change again. Without this table the retry would be
    rejected, since its base is no longer the current version. Versions increase with each change, so a
    version identifies one change.

    Attributes:
        last_evicted_version: The newest version evicted to stay within the limit. For changes up to this
            version it is unknown whether they were accepted.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self._digests: dict[int, bytes] = {}  # in ascending order of versions
        self._versions: dict[bytes, int] = {}
        self.last_evicted_version = 0

    def add(self, version: int, base: int, text: bytes) -> None:
        """Adds the newest change and evicts the oldest beyond MAX_REMEMBERED_CHANGES."""
        self._add_digest(version, _digest_of_change(base, text))
        while len(self._digests) > MAX_REMEMBERED_CHANGES:
            self.last_evicted_version = next(iter(self._digests))
            del self._versions[self._digests.pop(self.last_evicted_version)]

    def has_accepted(self, base: int, text: bytes) -> bool:
        """Returns whether exactly this change is among the remembered ones."""
        return _digest_of_change(base, text) in self._versions

    def _add_digest(self, version: int, digest: bytes) -> None:
        self._digests[version] = digest
        self._versions[digest] = version

    def to_plain(self) -> PlainChanges:
        """Returns a copy of the fields for encoding. Equal tables return equal fields."""
        return (self.last_evicted_version, list(self._digests), b"".join(self._digests.values()))

    @classmethod
    def from_plain(cls, plain: PlainChanges) -> "AcceptedChanges":
        """Restores a table from the fields that `to_plain` returned."""
        changes = cls()
        changes.last_evicted_version, versions, digests = plain
        size = len(digests) // len(versions) if versions else 0
        for position, version in enumerate(versions):
            changes._add_digest(version, digests[position * size : (position + 1) * size])
        return changes


def _digest_of_change(base: int, text: bytes) -> bytes:
    return digest_of((str(base).encode(), text))
