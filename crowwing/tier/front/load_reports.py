"""Load reports of sidecars: the `Server-Load` header, the body of a report, and their moving average."""

import json
import math
from dataclasses import dataclass

from crowwing.tier.front.whole_numbers import parse_whole_number

REPORT_WEIGHT = 0.1  # of the newest report in the moving average
REPORT_FRESH_S = 1.0  # how long the average is valid after the last report
MAX_REPORTED_FILL = 3.0  # as a multiple of the slots: bounds the effect of one report
LOAD_HEADER_FIELDS = 3  # running, waiting, slots


@dataclass(slots=True)
class LoadReport:
    """The load that a sidecar reported at one moment."""

    running: float
    waiting: float
    slots: float | None = None  # None if the report does not include it


def parse_load_header(value: bytes | None) -> LoadReport | None:
    """Parses a `Server-Load` header, `running,waiting,slots`; None if it is missing or invalid."""
    fields = value.split(b",") if value is not None else []
    numbers = [parse_whole_number(field.strip()) for field in fields]
    counts = [float(number) for number in numbers if number is not None]
    if len(fields) != LOAD_HEADER_FIELDS or len(counts) != LOAD_HEADER_FIELDS:
        return None
    running, waiting, slots = counts
    return LoadReport(running, waiting, slots)


def parse_report(body: bytes) -> LoadReport | None:
    """Parses the body of `GET /report`; None if it is invalid."""
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
    """Average number of requests at a sidecar of a service: from this front, and from all other fronts."""

    own: float
    others: float


@dataclass
class ReportedLoad:
    """The load of a service's sidecars, as a moving average of their reports. Owned by `SidecarTable`.

    Times are seconds of the monotonic clock.
    """

    fill: float = 0.0  # requests per slot; above 1 if requests are waiting
    updated_at: float = -1e9

    def update(self, now: float, fill: float) -> None:
        """Adds the report of one sidecar, with its fill capped at `MAX_REPORTED_FILL`."""
        bounded = min(MAX_REPORTED_FILL, max(0.0, fill))
        if now - self.updated_at > REPORT_FRESH_S:
            self.fill = bounded
        else:
            self.fill += REPORT_WEIGHT * (bounded - self.fill)
        self.updated_at = now
