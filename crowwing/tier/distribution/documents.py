"""The documents that all backends are to have, and which version is the newest."""

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
        kind: which document: `CONFIGURATION` or `SIDECARS`.
        version: the higher one of two of a kind is newer.
        body: the content, whose form depends on the kind.
    """

    kind: str
    version: DocumentVersion
    body: bytes


class Documents:
    """The newest version of each kind that this process has seen. It never goes back within one process.

    The process of a front or of a store machine owns it; the relay and the list reader offer to it.
    """

    def __init__(self) -> None:
        """Starts without documents."""
        self._current: dict[str, Document] = {}
        self._listeners: list[Callable[[Document], None]] = []

    def add_listener(self, listener: Callable[[Document], None]) -> None:
        """Calls the listener with each newer document from now on, in the order in which they were added."""
        self._listeners.append(listener)

    def offer(self, document: Document) -> bool:
        """Stores a document where it is newer than the current one, and calls the listeners.

        Returns:
            False where the current one is as new.
        """
        current = self._current.get(document.kind)
        if current is not None and current.version >= document.version:
            return False
        self._current[document.kind] = document
        for listener in self._listeners:
            listener(document)
        return True

    def get(self, kind: str) -> Document | None:
        """The newest version of a kind, None before there is any."""
        return self._current.get(kind)

    def versions(self) -> dict[str, DocumentVersion]:
        """The version of each kind: the digest that peers compare."""
        return {kind: document.version for kind, document in self._current.items()}

    def newer_than(self, versions: Mapping[str, DocumentVersion]) -> tuple[Document, ...]:
        """The documents that a peer with `versions` lacks."""
        return tuple(
            document
            for kind, document in self._current.items()
            if tuple(versions.get(kind, ())) < document.version
        )
