"""Shows the storm detector what comes and goes, and tells the decision module what follows from it.

Only where the operator file has a `storm` section; without one nothing here is loaded.
"""

from collections.abc import Callable, Sequence

from crowwing.protocol.arrival import Arrival
from crowwing.routing.event_recorder import EventRecorder
from crowwing.storm import fingerprint
from crowwing.storm.returns import Returns
from crowwing.storm.sight import Sight, View

EVERY = 100_000  # microseconds between looks at the rates, at the most by the module's wakes
LIKELY = 0.5  # from which an arrival counts as a repeat


class StormMonitor:
    """Feeds the storm detector. Owned by `Dispatcher`, where the operator wants storms seen."""

    def __init__(
        self,
        now: Callable[[], int],
        recorder: EventRecorder,
        types: int,
        fields: Sequence[str],
        span: int,
        most: int,
        lowers: bool,
    ) -> None:
        """`span` in microseconds and `most` prints: of the sight's windows; `lowers`: the module is told."""
        self.now, self.recorder, self.fields, self.lowers = now, recorder, fields, lowers
        self.sight = Sight(now(), types, span, most)
        self.returns: Returns | None = None  # where returns are paced
        self.last = now()
        self.tells: Callable[[int], None] | None = None  # of what was turned away, where a fleet shares it

    def arrived(self, arrival: Arrival, kind: int) -> tuple[int, bool]:
        """The print, and whether the module is to take it for a repeat: only in a storm, and if told to."""
        now, print_ = self.now(), fingerprint.of(arrival, self.fields)
        left = arrival.due - arrival.arrived if arrival.due else 0
        likely = self.sight.arrived(now, kind, print_, left) >= LIKELY
        if likely:
            self.recorder.count("likely_repeats")
        view = self.look()
        return print_, likely and view.storm and self.lowers

    def ended(self, print_: int, good: bool) -> None:
        """A final answer went out for a request with this print."""
        self.sight.ended(self.now(), print_, good)
        if self.tells is not None and not good:
            self.tells(print_)

    def elsewhere(self, prints: list[int]) -> None:
        """What others of the fleet turned away."""
        self.sight.elsewhere(self.now(), prints)

    def away(self, by: int, brings: float, least: int, due: int) -> int:
        """For how long a caller that is dismissed is to stay away, where the module asks for `least`.

        In a storm it gets a place of its own to come back, no later than its ticket's due time. What is
        settled now is taken for the room that there is for all who return.
        """
        if self.returns is None or not least or not self.sight.view.storm:
            return least
        now = self.now()
        return self.returns.advise(now, by, brings, least, due - now, self.sight.good_rate)

    def look(self) -> View:
        """What is seen now; a storm's begin and end are events."""
        now, before = self.now(), self.sight.view
        if now - self.last < EVERY:
            return before
        self.last = now
        view = self.sight.step(now)
        if view.storm != before.storm:
            what = "storm" if view.storm else "storm_over"
            self.recorder.event(
                what, tries=round(view.tries, 2), repeats=round(view.repeats, 3), sure=round(view.sure, 2)
            )
        return view
