"""Loads as sidecars report them: the `Server-Load` header, the body of a report, and their average."""

import json
import math
from dataclasses import dataclass

from crowwing.tier.front.whole_numbers import parse_whole_number

REPORT_WEIGHT = 0.1  # of the newest report in the average
REPORT_FRESH_S = 1.0  # for how long the average counts after the last report
MAX_REPORTED_FILL = 3.0  # in slots, the most that one report counts for
LOAD_HEADER_FIELDS = 3  # running, waiting, slots


@dataclass(slots=True)
class LoadReport:
    """What a sidecar says of its load at one moment."""

    running: float
    waiting: float
    slots: float | None = None  # None where the report does not say it


def parse_load_header(value: bytes | None) -> LoadReport | None:
    """Reads a `Server-Load` header, `running,waiting,slots`; None where it is missing or can't be read."""
    fields = value.split(b",") if value is not None else []
    numbers = [parse_whole_number(field.strip()) for field in fields]
    counts = [float(number) for number in numbers if number is not None]
    if len(fields) != LOAD_HEADER_FIELDS or len(counts) != LOAD_HEADER_FIELDS:
        return None
    running, waiting, slots = counts
    return LoadReport(running, waiting, slots)


def parse_report(body: bytes) -> LoadReport | None:
    """Reads the body of `GET /report`; None where it can't be read."""
    try:
        fields = json.loads(body)
        running, waiting = float(fields["running"]), float(fields["waiting"])
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None
    if not (0 <= running < math.inf and 0 <= waiting < math.inf):
        return None
    return LoadReport(running, waiting)


@dataclass(frozen=True)
class AverageInflight:
    """Requests at a sidecar of a service on average: this front's own, and those of all other fronts."""

    own: float
    others: float


@dataclass
class ReportedLoad:
    """The load of a service's sidecars, as a moving average of their reports. Owned by `SidecarTable`.

    Times are seconds of the steady clock.
    """

    fill: float = 0.0  # share of the slots, more than 1 where requests wait
    updated_at: float = -1e9

    def update(self, now: float, fill: float) -> None:
        """Takes one sidecar's report in; a fill beyond `MAX_REPORTED_FILL` counts as that."""
        bounded = min(MAX_REPORTED_FILL, max(0.0, fill))
        if now - self.updated_at > REPORT_FRESH_S:
            self.fill = bounded
        else:
            self.fill += REPORT_WEIGHT * (bounded - self.fill)
        self.updated_at = now
