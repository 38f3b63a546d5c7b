"""Counts the outcomes of requests and writes events to the log."""

import traceback
from collections import Counter
from collections.abc import Callable


class EventRecorder:
    """Counts and logs events; the size of `counts` does not depend on the number of requests."""

    def __init__(self, write: Callable[..., None]) -> None:
        """Writes events with `write`."""
        self.write = write
        self.counts: Counter[str] = Counter()

    def count(self, name: str, amount: int = 1) -> None:
        """Counts without a line in the log."""
        self.counts[name] += amount

    def event(self, event_name: str, **fields: object) -> None:
        """Counts an event and writes it to the log."""
        self.counts[event_name] += 1
        self.write(event_name, **fields)

    def defect(self, where: str, request_id: str | None) -> None:
        """Logs the exception being handled; to be called in an except clause."""
        self.counts["defects"] += 1
        self.write("defect", where=where, id=request_id, trace=traceback.format_exc(limit=-8))

    def verify(self, condition: bool, name: str) -> bool:
        """Checks an invariant: asserted in debug builds, counted in release builds."""
        assert condition, name
        if not condition:
            self.counts[f"broken: {name}"] += 1
        return condition
