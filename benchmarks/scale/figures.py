"""Computes figures from samples: rates over intervals, the worst minute, medians and maxima. No I/O.

A sample (record.py) holds the monotonic counters and the memory of every process at one moment. Rates are
differences of two samples; a real backend that was restarted in between has no rate for that interval.
"""

import statistics
from collections.abc import Callable, Sequence

HEADER_BYTES = 28  # bytes of IPv4 and UDP before a datagram's payload
MINUTE_S = 60.0
MAX_LAG_S, MAX_BUSY_FRACTION = 0.5, 0.95  # beyond either, a stub process did not keep pace
RATE_FIELDS = ("cpu_ms_s", "bytes_s", "wire_bytes_s", "datagrams_s", "fetches_s")


def real_rates(before: dict, after: dict, passed_s: float) -> dict | None:
    """Rates of one real backend; None if it was restarted in between or did not answer."""
    if before["pid"] != after["pid"] or before["counts"] is None or after["counts"] is None:
        return None
    deltas = {key: after["counts"][key] - before["counts"][key] for key in before["counts"]}
    stream_bytes = after["stream_bytes"] - before["stream_bytes"]
    payload_bytes = deltas["sent_bytes"] + deltas["read_bytes"] + stream_bytes
    datagrams = deltas["sent"] + deltas["read"]
    return {
        "cpu_ms_s": 1000 * (after["cpu_s"] - before["cpu_s"]) / passed_s,
        "bytes_s": payload_bytes / passed_s,
        "wire_bytes_s": (payload_bytes + HEADER_BYTES * datagrams) / passed_s,
        "datagrams_s": datagrams / passed_s,
        "fetches_s": deltas["fetches"] / passed_s,
    }


def stub_rates(before: dict, after: dict, passed_s: float) -> dict | None:
    """Mean rates of one stub member; None if none is running. Processor time is that of the whole process,
    including the harness's own."""
    running = (before["on"] + after["on"]) / 2
    if not running:
        return None
    deltas = {key: after["sums"][key] - before["sums"][key] for key in before["sums"]}
    # The bytes of a stream count at both of its ends.
    payload_bytes = deltas["sent_bytes"] + deltas["read_bytes"] + 2 * deltas["stream_bytes"]
    datagrams = deltas["sent"] + deltas["read"]
    member_s = passed_s * running
    return {
        "cpu_ms_s": 1000 * (after["cpu_s"] - before["cpu_s"]) / member_s,
        "bytes_s": payload_bytes / member_s,
        "wire_bytes_s": (payload_bytes + HEADER_BYTES * datagrams) / member_s,
        "datagrams_s": datagrams / member_s,
        "fetches_s": deltas["fetches"] / member_s,
    }


def sample_pairs(samples: Sequence[dict], span_s: float) -> list[tuple[dict, dict]]:
    """Pairs of samples at least `span_s` (less 5%) apart; if there are none, the first and the last one."""
    pairs = []
    for n, first in enumerate(samples):
        later = [one for one in samples[n + 1 :] if one["at_s"] - first["at_s"] >= 0.95 * span_s]
        if later:
            pairs.append((first, later[0]))
    return pairs or [(samples[0], samples[-1])]


def summarize(values: Sequence[float]) -> dict:
    return {"median": statistics.median(values), "most": max(values), "least": min(values)}


def summarize_real(
    samples: Sequence[dict], pick: Callable = max, span_s: float = MINUTE_S, speakers_only: bool | None = None
) -> dict:
    """Applies `pick` to each rate of a real backend over windows of `span_s`, then summarizes over backends.

    `speakers_only`: True for the speakers of cells, False for the other backends, None for all."""
    found: dict[str, list[float]] = {name: [] for name in RATE_FIELDS}
    names = [name for name in samples[0]["real"] if all(name in one["real"] for one in samples)]
    if speakers_only is not None:
        names = [name for name in names if samples[0]["real"][name]["speaks"] == speakers_only]
    for name in names:
        rates = [
            real_rates(a["real"][name], b["real"][name], b["at_s"] - a["at_s"])
            for a, b in sample_pairs(samples, span_s)
        ]
        valid = [rate for rate in rates if rate is not None]
        for field in RATE_FIELDS if valid else ():
            found[field].append(pick(rate[field] for rate in valid))
    summary: dict = {field: summarize(values) for field, values in found.items() if values}
    for field in ("rss_kb", "hwm_kb"):
        values = [max(one["real"][name][field] for one in samples) for name in names]
        if values:
            summary[field] = summarize(values)
    return summary | {"backends": len(names)}


def summarize_stubs(samples: Sequence[dict], pick: Callable = max, span_s: float = MINUTE_S) -> dict:
    rates = [
        stub_rates(a["hollow"], b["hollow"], b["at_s"] - a["at_s"]) for a, b in sample_pairs(samples, span_s)
    ]
    valid = [rate for rate in rates if rate is not None]
    summary = {field: pick(rate[field] for rate in valid) for field in RATE_FIELDS} if valid else {}
    later = [one["hollow"] for one in samples[1:]]
    speaker_rates = [one["speakers_bytes_s"] / one["speakers"] for one in later if one["speakers"]]
    if speaker_rates:
        summary["speakers_bytes_s"] = pick(speaker_rates)
    return summary | {
        "busiest_bytes_s": max((one["most_bytes_s"] for one in later), default=0.0),
        "busiest_datagrams_s": max((one["most_datagrams_s"] for one in later), default=0.0),
    }


def summarize_baseline(samples: Sequence[dict]) -> dict:
    """Rates of the real backend without a fleet section, over the whole time."""
    first, last = samples[0], samples[-1]
    cpu_s = last["alone"]["cpu_s"] - first["alone"]["cpu_s"]
    return {
        "cpu_ms_s": 1000 * cpu_s / (last["at_s"] - first["at_s"]),
        "rss_kb": last["alone"]["rss_kb"],
        "hwm_kb": last["alone"]["hwm_kb"],
    }


def check_pace(samples: Sequence[dict]) -> dict:
    """Whether the stub processes kept pace, by the lag of their event loops and the load of the busiest."""
    slowest = max((one["hollow"] for one in samples[1:]), key=lambda one: one["lag_s"])
    lag = slowest["lag_s"]
    max_busy = 0.0
    for before, after in zip(samples, samples[1:], strict=False):
        passed = after["at_s"] - before["at_s"]
        cpu_pairs = zip(before["hollow"]["cpu_each_s"], after["hollow"]["cpu_each_s"], strict=True)
        max_busy = max([max_busy, *((b - a) / passed for a, b in cpu_pairs)])
    return {
        "kept": lag <= MAX_LAG_S and max_busy <= MAX_BUSY_FRACTION,
        "lag_s": lag,
        "lag_used_s": slowest["lag_used_s"],
        "busiest_process": max_busy,
    }


def summarize_phase(samples: Sequence[dict], at_rest: bool) -> dict:
    """Figures of one script: its worst minute, or, at rest, its whole duration."""
    span = samples[-1]["at_s"] - samples[0]["at_s"]
    window_s = span if at_rest else MINUTE_S
    return {
        "span_s": span,
        "real": summarize_real(samples, max, window_s),
        "speakers": summarize_real(samples, max, window_s, speakers_only=True),
        "others": summarize_real(samples, max, window_s, speakers_only=False),
        "hollow": summarize_stubs(samples, max, window_s),
        "alone": summarize_baseline(samples) if "alone" in samples[0] else None,
        "step": check_pace(samples),
    }
