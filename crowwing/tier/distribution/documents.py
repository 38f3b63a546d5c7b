"""The versioned documents that are distributed to all backends."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from crowwing.tier.wire.codec import message

CONFIGURATION = "configuration"
SIDECARS = "sidecars"
DocumentVersion = tuple[int, ...]


@message("Document")
@dataclass(frozen=True)
class Document:
    """One version of a document.

    Attributes:
        kind: `CONFIGURATION` or `SIDECARS`.
        version: of two versions of a kind, the higher one is newer.
        body: the content, in a format that depends on the kind.
    """

    kind: str
    version: DocumentVersion
    body: bytes


class Documents:
    """The newest version of each kind of document that this process has seen; versions never decrease.

    Owned by the process of a front or of a store machine. The relay and the list reader offer documents to
    it.
    """

    def __init__(self) -> None:
        """Starts without documents."""
        self._current: dict[str, Document] = {}
        self._listeners: list[Callable[[Document], None]] = []

    def add_listener(self, listener: Callable[[Document], None]) -> None:
        """Adds a listener for newer documents. Listeners are called in the order in which they were added."""
        self._listeners.append(listener)

    def offer(self, document: Document) -> bool:
        """Stores a document and calls the listeners if it is newer than the current version.

        Returns:
            Whether the document was newer.
        """
        current = self._current.get(document.kind)
        if current is not None and current.version >= document.version:
            return False
        self._current[document.kind] = document
        for listener in self._listeners:
            listener(document)
        return True

    def get(self, kind: str) -> Document | None:
        """Returns the newest version of a kind, or None if there is none yet."""
        return self._current.get(kind)

    def versions(self) -> dict[str, DocumentVersion]:
        """Returns the version of each kind; peers compare these to find missing documents."""
        return {kind: document.version for kind, document in self._current.items()}

    def newer_than(self, versions: Mapping[str, DocumentVersion]) -> tuple[Document, ...]:
        """Returns the documents that are newer than the given versions, which are those of a peer."""
        return tuple(
            document
            for kind, document in self._current.items()
            if tuple(versions.get(kind, ())) < document.version
        )
