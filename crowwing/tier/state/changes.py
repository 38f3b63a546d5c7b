"""Which changes of the configuration were accepted, so that a retry of one is acknowledged again."""

from collections.abc import Sequence

from crowwing.tier.replication.ranges import digest_of

MAX_REMEMBERED_CHANGES = 4096  # with version and digest each takes under 32 bytes on disk

# The newest forgotten version, the remembered versions, and their digests one after another.
PlainChanges = tuple[int, Sequence[int], bytes]


class AcceptedChanges:
    """The newest accepted changes, by version, each with a digest of its base and its text.

    An operator whose response was lost sends the same change again; without this record it would be rejected,
    since its base is not the newest version any more. Versions rise with each change, so each names one.

    Attributes:
        forgotten: The newest version that was dropped for the bound. Whether a change up to it was accepted
            is not known any more.
    """

    def __init__(self) -> None:
        """No changes."""
        self._digests: dict[int, bytes] = {}  # in rising order of their versions
        self._versions: dict[bytes, int] = {}
        self.last_evicted_version = 0

    def add(self, version: int, base: int, text: bytes) -> None:
        """Records the newest change; drops the oldest beyond MAX_REMEMBERED_CHANGES."""
        self._add_digest(version, _digest_of_change(base, text))
        while len(self._digests) > MAX_REMEMBERED_CHANGES:
            self.last_evicted_version = next(iter(self._digests))
            del self._versions[self._digests.pop(self.last_evicted_version)]

    def has_accepted(self, base: int, text: bytes) -> bool:
        """Whether this very change was accepted, as far as it is remembered."""
        return _digest_of_change(base, text) in self._versions

    def _add_digest(self, version: int, digest: bytes) -> None:
        self._digests[version] = digest
        self._versions[digest] = version

    def to_plain(self) -> PlainChanges:
        """The fields as they are now, to be encoded; equal records give equal fields."""
        return (self.last_evicted_version, list(self._digests), b"".join(self._digests.values()))

    @classmethod
    def from_plain(cls, plain: PlainChanges) -> "AcceptedChanges":
        """The record whose fields `to_plain` gave."""
        changes = cls()
        changes.last_evicted_version, versions, digests = plain
        size = len(digests) // len(versions) if versions else 0
        for position, version in enumerate(versions):
            changes._add_digest(version, digests[position * size : (position + 1) * size])
        return changes


def _digest_of_change(base: int, text: bytes) -> bytes:
    return digest_of((str(base).encode(), text))
