"""The documents that all backends are to have, and which copy is the newest."""

from collections.abc import Callable
from dataclasses import dataclass

from crowwing.tier.wire.codec import message

CONFIGURATION, SIDECARS = "configuration", "sidecars"
DocumentVersion = tuple[int, ...]


@message("Document")
@dataclass(frozen=True)
class Document:
    """One document. Of two copies of a kind the one with the higher order is newer."""

    kind: str
    version: DocumentVersion
    body: bytes


class Documents:
    """The newest copy of each kind that this process has seen. It never goes back within one life."""

    def __init__(self) -> None:
        self._held: dict[str, Document] = {}
        self._listeners: list[Callable[[Document], None]] = []

    def listen(self, listener: Callable[[Document], None]) -> None:
        """Calls the listener with each newer document."""
        self._listeners.append(listener)

    def offer(self, document: Document) -> bool:
        """Takes a document in; False where the copy held is as new."""
        held = self._held.get(document.kind)
        if held is not None and held.version >= document.version:
            return False
        self._held[document.kind] = document
        for listener in self._listeners:
            listener(document)
        return True

    def get(self, kind: str) -> Document | None:
        """The newest copy of a kind."""
        return self._held.get(kind)

    def versions(self) -> dict[str, DocumentVersion]:
        """Which copies are held: the digest that peers compare."""
        return {kind: document.version for kind, document in self._held.items()}

    def newer_than(self, versions: dict[str, DocumentVersion]) -> tuple[Document, ...]:
        """What somebody who holds `orders` lacks."""
        return tuple(
            document
            for kind, document in self._held.items()
            if tuple(versions.get(kind, ())) < document.version
        )
