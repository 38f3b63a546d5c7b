"""Which changes of the configuration were taken, so that one that is sent again is acknowledged again."""

from typing import Any

from crowwing.tier.replication.ranges import digest_of

MAX_REMEMBERED_CHANGES = 4096  # remembered; with version and digest each takes under 32 bytes on disk


class AcceptedChanges:
    """The newest changes that were taken, by version, each with a digest of its base and its text.

    Versions rise with each change, so each names one change. Beyond the bound the oldest are forgotten;
    whether a version up to `forgotten` was taken can't be told any more.
    """

    def __init__(self) -> None:
        self._digests: dict[int, bytes] = {}  # in rising order of their versions
        self._versions: dict[bytes, int] = {}
        self.forgotten = 0

    def add(self, version: int, base: int, text: bytes) -> None:
        """Notes the newest change."""
        self._add_digest(version, _digest_of_change(base, text))
        while len(self._digests) > MAX_REMEMBERED_CHANGES:
            self.forgotten = next(iter(self._digests))
            del self._versions[self._digests.pop(self.forgotten)]

    def has_taken(self, base: int, text: bytes) -> bool:
        """Whether this very change was taken, as far as it is remembered."""
        return _digest_of_change(base, text) in self._versions

    def _add_digest(self, version: int, digest: bytes) -> None:
        self._digests[version] = digest
        self._versions[digest] = version

    def to_plain(self) -> tuple[Any, ...]:
        """Its fields as they are now, to be encoded; equal where they are the same."""
        return (self.forgotten, list(self._digests), b"".join(self._digests.values()))

    @classmethod
    def from_plain(cls, plain: tuple[Any, ...]) -> "AcceptedChanges":
        """The changes that `to_plain` gave the fields of."""
        changes = cls()
        changes.forgotten, versions, digests = plain
        size = len(digests) // len(versions) if versions else 0
        for place, version in enumerate(versions):
            changes._add_digest(version, digests[place * size : (place + 1) * size])
        return changes


def _digest_of_change(base: int, text: bytes) -> bytes:
    return digest_of((str(base).encode(), text))
