"""The figures that are computed from the rows of the measures (benchmarks/slopes_measures.py)."""

import math
from typing import NamedTuple

from benchmarks.slopes_measures import PEAK_RATE
from benchmarks.slopes_test_bed import CALLERS, TENANTS


class Figure(NamedTuple):
    """One figure from the rows of a measure: the value at one x, or the slope over x."""

    what: str
    unit: str
    measure: str
    field: str
    at_x: float | None = None
    factor: float = 1.0
    first: bool = False  # the value of the first row, regardless of x
    x_field: str = "x"  # the independent variable of a slope
    max_x: float = math.inf  # the largest x of a slope; beyond it the backend is saturated


FIGURES = {
    "rss_kb": Figure("resident memory, nothing but one tenant and one type", "kB", "tenants", "rss_kb", 1),
    "start_ms": Figure("from exec to `started`", "ms", "tenants", "start_ms", 1),
    "ready_ms": Figure("from exec to the first report", "ms", "tenants", "ready_ms", 1),
    "rest_ms_per_s": Figure("processor time at rest", "ms/s", "ticket_new", "cpu_ms_per_s", 0),
    "tenant_file_bytes": Figure("file, a tenant", "bytes", "tenants", "file_bytes"),
    "tenant_rss_bytes": Figure("resident memory, a tenant", "bytes", "tenants", "rss_kb", factor=1024),
    "tenant_start_us": Figure("start, a tenant", "us", "tenants", "start_ms", factor=1000),
    "tenant_reload_us": Figure(
        "pause of the loop at a reload, a tenant", "us", "tenants", "reload_ms", factor=1000
    ),
    "tenant_reload_rss_bytes": Figure(
        "most resident memory, with a reload, a tenant", "bytes", "tenants", "rss_most_kb", factor=1024
    ),
    "tenant_ticket_us": Figure("processor time of one ticket, a tenant", "us", "tenants", "ticket_us"),
    "tenants_reload_ms": Figure(
        "pause of the loop at a reload, 170,000 tenants", "ms", "tenants", "reload_ms", TENANTS
    ),
    "tenants_reload_cpu_ms": Figure(
        "processor time of a reload, 170,000 tenants", "ms", "tenants", "reload_cpu_ms", TENANTS
    ),
    "tenants_file_bytes": Figure("the file, 170,000 tenants", "bytes", "tenants", "file_bytes", TENANTS),
    "tenants_ready_ms": Figure(
        "from exec to the first report, 170,000 tenants", "ms", "tenants", "ready_ms", TENANTS
    ),
    "tenants_rss_kb": Figure("resident memory, 170,000 tenants", "kB", "tenants", "rss_kb", TENANTS),
    "tenants_rss_most_kb": Figure(
        "the most of it, a reload included", "kB", "tenants", "rss_most_kb", TENANTS
    ),
    "tenants_ticket_ms_per_s": Figure(
        "processor time at 113 tickets a second, 170,000 tenants",
        "ms/s",
        "tenants",
        "ticket_ms_per_s",
        TENANTS,
    ),
    "tenants_added_50_ms": Figure(
        "added to a ticket, 50 in 100, 170,000 tenants", "ms", "tenants", "added_50_ms", TENANTS
    ),
    "tenants_added_99_ms": Figure(
        "added to a ticket, 99 in 100, 170,000 tenants", "ms", "tenants", "added_99_ms", TENANTS
    ),
    "type_file_bytes": Figure("file, a traffic type", "bytes", "types", "file_bytes"),
    "type_rss_bytes": Figure("resident memory, a traffic type", "bytes", "types", "rss_kb", factor=1024),
    "type_rest_us_per_s": Figure(
        "processor time at rest, a traffic type", "us/s", "types", "rest_ms_per_s", factor=1000
    ),
    "type_ticket_us": Figure(
        "processor time of one ticket, a traffic type", "us", "types", "ticket_us", max_x=200
    ),
    "types_56_ticket_ms_per_s": Figure(
        "processor time at 113 tickets a second, 56 types", "ms/s", "types", "ticket_ms_per_s", 56
    ),
    "types_1000_ticket_ms_per_s": Figure(
        "processor time at 113 tickets a second, 1,000 types", "ms/s", "types", "ticket_ms_per_s", 1000
    ),
    "types_56_added_99_ms": Figure(
        "added to a ticket, 99 in 100, 56 types", "ms", "types", "added_99_ms", 56
    ),
    "types_1000_added_99_ms": Figure(
        "added to a ticket, 99 in 100, 1,000 types", "ms", "types", "added_99_ms", 1000
    ),
    "types_78000_rss_kb": Figure("resident memory, 78,000 types", "kB", "types_all", "rss_kb", 78_000),
    "types_78000_rest_ms_per_s": Figure(
        "processor time at rest, 78,000 types", "ms/s", "types_all", "rest_ms_per_s", 78_000
    ),
    "idle_rss_bytes": Figure("resident memory, an idle connection", "bytes", "idle", "rss_kb", factor=1024),
    "idle_descriptors": Figure("descriptors, an idle connection", "", "idle", "descriptors"),
    "idle_us_per_s": Figure(
        "processor time, an idle connection", "us/s", "idle", "cpu_ms_per_s", factor=1000
    ),
    "opened_us": Figure(
        "processor time, a connection opened and closed",
        "us",
        "opened",
        "cpu_ms_per_s",
        factor=1000,
        x_field="per_s",
    ),
    "check_us": Figure(
        "processor time, a health check on its own connection",
        "us",
        "checks",
        "cpu_ms_per_s",
        factor=1000,
        x_field="per_s",
    ),
    "check_bytes": Figure(
        "bytes of a health check and its answer", "bytes", "checks", "wire_bytes_per_s", x_field="per_s"
    ),
    "check_added_99_ms": Figure(
        "answer to a health check, 99 in 100, 800 a second", "ms", "checks", "added_99_ms", 800
    ),
    "ticket_kept_us": Figure(
        "processor time, a ticket on a kept connection",
        "us",
        "ticket_kept",
        "cpu_ms_per_s",
        factor=1000,
        x_field="per_s",
    ),
    "ticket_new_us": Figure(
        "processor time, a ticket on a new connection",
        "us",
        "ticket_new",
        "cpu_ms_per_s",
        factor=1000,
        x_field="per_s",
    ),
    "ticket_call_us": Figure(
        "the same with one call below", "us", "ticket_call", "cpu_ms_per_s", factor=1000, x_field="per_s"
    ),
    "ticket_kept_added_50_ms": Figure(
        "added at 113 a second, kept connections, 50 in 100", "ms", "ticket_kept", "added_50_ms", PEAK_RATE
    ),
    "ticket_kept_added_99_ms": Figure("the same, 99 in 100", "ms", "ticket_kept", "added_99_ms", PEAK_RATE),
    "ticket_new_added_50_ms": Figure(
        "added at 113 a second, new connections, 50 in 100", "ms", "ticket_new", "added_50_ms", PEAK_RATE
    ),
    "ticket_new_added_99_ms": Figure("the same, 99 in 100", "ms", "ticket_new", "added_99_ms", PEAK_RATE),
    "ticket_call_added_99_ms": Figure(
        "the same with one call below, 99 in 100", "ms", "ticket_call", "added_99_ms", PEAK_RATE
    ),
    "floor_kept_99_ms": Figure("of it the measuring's own, kept, 99 in 100", "ms", "floor", "added_99_ms", 1),
    "floor_new_99_ms": Figure("of it the measuring's own, new, 99 in 100", "ms", "floor", "added_99_ms", 0),
    "caller_ticket_ns_per_s": Figure(
        "processor time at 113 a second, a caller", "ns/s", "callers", "cpu_ms_per_s", factor=1e6
    ),
    "callers_added_99_ms": Figure(
        "added at 113 a second, 47,000 callers, 99 in 100", "ms", "callers", "added_99_ms", CALLERS
    ),
    "report_us": Figure("processor time, a report", "us", "reports", "cpu_ms_per_s", factor=1000),
    "reports_per_s": Figure("reports a second, all of them counted", "1/s", "reports", "x", first=True),
    "report_bytes": Figure(
        "bytes of a report and its answer", "bytes", "reports", "report_bytes", first=True
    ),
    "report_links": Figure(
        "new connections a report, answered 204 without a length", "", "reports", "links", first=True
    ),
    "farm_rest_bytes_per_s": Figure(
        "the farm agent's link at rest", "bytes/s", "ticket_new", "farm_bytes_per_s", 0
    ),
    "line_us": Figure("processor time, a line of figures", "us", "log_lines", "cpu_ms_per_s", factor=1000),
    "line_bytes": Figure("bytes of a line of figures at rest", "bytes", "log_lines", "line_bytes", 0.2),
}
