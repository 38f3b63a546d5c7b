"""Publishes committed configurations to the backends, and caches the newest one in parsed form."""

from collections import deque

from crowwing.tier.configuration import Configuration, parse_configuration
from crowwing.tier.distribution.documents import CONFIGURATION, Document, Documents
from crowwing.tier.state.events import ConfigurationAccepted
from crowwing.tier.state.tier_state import TierState


class ConfigurationPublisher:
    """Publishes the configurations of one store machine to the fronts; owned by `StoreService`."""

    def __init__(self, state: TierState, documents: Documents) -> None:
        """Creates a publisher with nothing to publish.

        Args:
            state: The state, with the newest configuration, committed or not.
            documents: Where committed configurations are published.
        """
        self._state = state
        self._documents = documents
        self._parsed_version = 0
        self._parsed: Configuration | None = None
        self._uncommitted: deque[tuple[int, Document]] = (
            deque()
        )  # each with its log index; published once that is committed

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration, parsed; None if there is none or this release can't read it."""
        text, version = self._state.configuration, self._state.version
        if text is not None and self._parsed_version != version:
            parsed = parse_configuration(text)
            self._parsed_version = version
            self._parsed = parsed if isinstance(parsed, Configuration) else None
        return self._parsed

    def on_accepted(self, index: int, accepted: ConfigurationAccepted) -> None:
        """Registers a configuration proposed at a log index.

        It is published once that index is committed: a backend must not use a configuration that a later
        primary may not have.
        """
        self._uncommitted.append((index, Document(CONFIGURATION, (accepted.version,), accepted.text)))

    def on_committed(self, index: int) -> None:
        """Publishes committed configurations; the log is committed up to `index`."""
        while self._uncommitted and self._uncommitted[0][0] <= index:
            self._documents.offer(self._uncommitted.popleft()[1])

    def on_role_changed(self, is_primary: bool) -> None:
        """Drops pending configurations. A new primary, whose log is fully committed, publishes its newest."""
        self._uncommitted.clear()
        text = self._state.configuration
        if is_primary and text is not None:
            self._documents.offer(Document(CONFIGURATION, (self._state.version,), text))
