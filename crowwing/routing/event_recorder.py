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

    def count(self, name: str, amount: int = 1) -> None:
        """Counts something without a line in the log."""
        self.counts[name] += amount

    def event(self, event_name: str, **fields: object) -> None:
        """Counts something and writes it."""
        self.counts[event_name] += 1
        self.write(event_name, **fields)

    def defect(self, where: str, request_id: str | None) -> None:
        """Within an except clause."""
        self.counts["defects"] += 1
        self.write("defect", where=where, id=request_id, trace=traceback.format_exc(limit=-8))

    def verify(self, condition: bool, name: str) -> bool:
        """Asserted in debug builds, counted in release builds."""
        assert condition, name
        if not condition:
            self.counts[f"broken: {name}"] += 1
        return condition
