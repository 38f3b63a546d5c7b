"""Renders docs/measurements/scale.md from the fits. No I/O."""

from collections.abc import Iterator

HEAD = """# What the fleet costs at size: real backends beside hollow members

Written by `python -m benchmarks.scale.fit` from the runs in scale.json, key `fleet`; each run is one of
`python -m benchmarks.scale --flat|--cells`. Emulated: real backend processes, and hollow members (the same
pure decider, on sockets of their own, many to a process), on one machine, 5 regions and 11 zones, 80 ms one
way between regions; the fleet's settings are the defaults. A real backend's figures are the whole process's;
`alone` is one without a fleet section, run beside them. Bytes are payload sent and read together, streams
too; 28 more a datagram are on the wire. At rest the whole span counts, else each backend's worst minute.
Each cell: the median over seeds of the figure, with least and most where there are several seeds.
"""
TABLES = (
    ("Real backend: processor time, ms/s (median of the backends)", "real_cpu_ms_s"),
    ("Real backend: processor time, ms/s (the busiest)", "real_cpu_ms_s_most"),
    ("The backend alone: processor time, ms/s", "alone_cpu_ms_s"),
    ("Real backend: bytes a second (median of the backends)", "real_bytes_s"),
    ("Real backend: bytes a second (the busiest)", "real_bytes_s_most"),
    ("Real backend: bytes a second on the wire (the busiest)", "real_wire_bytes_s_most"),
    ("Real backend: datagrams a second (median)", "real_datagrams_s"),
    ("Real backend that speaks for its cell: bytes a second (median)", "speaker_bytes_s"),
    ("Real backend that does not: bytes a second (median)", "other_bytes_s"),
    ("Real backend: resident kB (median)", "real_rss_kb"),
    ("Real backend: resident kB at the most (the largest)", "real_rss_kb_most"),
    ("The backend alone: resident kB", "alone_rss_kb"),
    ("Hollow member: processor time, ms/s, with the harness's own", "hollow_cpu_ms_s"),
    ("Hollow member: bytes a second (mean)", "hollow_bytes_s"),
    ("The busiest hollow member: bytes a second in 10 s", "hollow_busiest_bytes_s"),
    ("A killed member known by all who watch it, s (the slowest)", "known_s"),
    ("A dead cell known by all, s (the slowest)", "dead_cells_known_s"),
    ("All views right after everything is back, s", "views_right_s"),
    ("One change held by all, s (the slowest)", "change_held_s"),
    ("Fifty changes at once held by all, s (the slowest)", "burst_held_s"),
    ("Hollow members that left the list", "left_the_list"),
    ("Real backends that left the list", "real_left_the_list"),
    ("A real backend started again: ready after, s (the slowest)", "ready_s"),
    ("A real backend started again: hollow members asked (the most)", "asked"),
    ("A real backend that comes up: whole copies asked for", "attempts"),
)


def rounded(value: float) -> str:
    if value == 0:
        return "0"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def format_range(values: dict) -> str:
    if values["runs"] == 1 or values["least"] == values["most"]:
        return rounded(values["median"])
    return f"{rounded(values['median'])} ({rounded(values['least'])} to {rounded(values['most'])})"


def format_slope(fit: dict | None) -> str:
    if fit is None:
        return ""
    return f"{rounded(fit['per_1000'])} ({rounded(fit['per_1000_least'])} to {rounded(fit['per_1000_most'])})"


def table_rows(fits: dict, figure: str, sizes: list[str]) -> Iterator[str]:
    for mode, scripts in sorted(fits.items(), reverse=True):
        for script, figures in scripts.items():
            fitted = figures.get(figure)
            if fitted is None:
                continue
            lagging = {str(size) for size in fitted["late"]}
            cells = []
            for size in sizes:
                range_text = format_range(fitted["sizes"][size]) if size in fitted["sizes"] else ""
                cells.append(f"{range_text}{' not in step' if size in lagging else ''}".strip())
            seeds = fitted["fit"]["seeds"] if fitted["fit"] else ""
            yield f"| {mode} | {script} | {' | '.join(cells)} | {format_slope(fitted['fit'])} | {seeds} |"


def render_page(summary: dict) -> str:
    fits = summary["fits"]
    sizes = sorted({run["size"] for run in summary["runs"]})
    columns = [str(size) for size in sizes]
    blocks = [HEAD]
    loads = [run["load"] for run in summary["runs"]]
    load = f"{min(loads):.1f} to {max(loads):.1f}"
    blocks.append(f"{len(loads)} runs; the machine's load as they began was {load}.\n")
    for title, figure in TABLES:
        if lines := list(table_rows(fits, figure, columns)):
            blocks.append(f"## {title}\n")
            blocks.append(f"| fleet | script | {' | '.join(columns)} | for 1,000 more | seeds |")
            blocks.append("| --- " * (len(columns) + 4) + "|")
            blocks += [*lines, ""]
    if stopped := [run for run in summary["runs"] if run.get("stopped")]:
        blocks.append("## Runs that did not come to their end\n")
        blocks += [f"- {run['mode']} {run['size']}, seed {run['seed']}: {run['stopped']}" for run in stopped]
        blocks.append("")
    return "\n".join(blocks)
