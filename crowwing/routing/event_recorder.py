"""Counts what became of requests, and writes events where the program says."""

import traceback
from collections import Counter
from collections.abc import Callable


class EventRecorder:
    """`counts` has one entry a kind of event, whatever the number of tickets."""

    def __init__(self, write: Callable[..., None]) -> None:
        """Writes events by `write`."""
        self.write = write
        self.counts: Counter[str] = Counter()

    def count(self, what: str, by: int = 1) -> None:
        """Counts something without a line in the log."""
        self.counts[what] += by

    def event(self, what: str, **facts: object) -> None:
        """Counts something and writes it."""
        self.counts[what] += 1
        self.write(what, **facts)

    def defect(self, where: str, ident: str | None) -> None:
        """Within an except clause."""
        self.counts["defects"] += 1
        self.write("defect", where=where, id=ident, trace=traceback.format_exc(limit=-8))

    def holds(self, what: bool, name: str) -> bool:
        """Asserted in debug builds, counted in release builds."""
        assert what, name
        if not what:
            self.counts[f"broken: {name}"] += 1
        return what
