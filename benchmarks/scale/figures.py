"""From samples to figures: rates over bins, the worst minute, medians and mosts. Pure.

A sample is what was read of every process at one moment (record.py): counters that only go up, and memory.
`Bin` is the difference of two; a real backend that was started anew in between has no rate there.
"""

import statistics
from collections.abc import Callable, Sequence

HEADER = 28  # bytes of IPv4 and UDP before a datagram's payload
MINUTE = 60.0
LATE_S, FULL = 0.5, 0.95  # a hollow process that is so far behind, or so busy, is not in step
RATES = ("cpu_ms_s", "bytes_s", "wire_bytes_s", "datagrams_s", "fetches_s")


def real_rates(before: dict, after: dict, passed_s: float) -> dict | None:
    """Of one real backend; None where it is another process by now, or did not answer."""
    if before["pid"] != after["pid"] or before["counts"] is None or after["counts"] is None:
        return None
    moved = {key: after["counts"][key] - before["counts"][key] for key in before["counts"]}
    streams = after["stream_bytes"] - before["stream_bytes"]
    payload = moved["sent_bytes"] + moved["read_bytes"] + streams
    datagrams = moved["sent"] + moved["read"]
    return {
        "cpu_ms_s": 1000 * (after["cpu_s"] - before["cpu_s"]) / passed_s,
        "bytes_s": payload / passed_s,
        "wire_bytes_s": (payload + HEADER * datagrams) / passed_s,
        "datagrams_s": datagrams / passed_s,
        "fetches_s": moved["fetches"] / passed_s,
    }


def hollow_rates(before: dict, after: dict, passed_s: float) -> dict | None:
    """Of one hollow member on the average; None where none is on. Processor time is the whole process's,
    with what this harness itself takes."""
    on = (before["on"] + after["on"]) / 2
    if not on:
        return None
    moved = {key: after["sums"][key] - before["sums"][key] for key in before["sums"]}
    payload = moved["sent_bytes"] + moved["read_bytes"] + 2 * moved["stream_bytes"]  # a stream has two ends
    datagrams = moved["sent"] + moved["read"]
    share = passed_s * on
    return {
        "cpu_ms_s": 1000 * (after["cpu_s"] - before["cpu_s"]) / share,
        "bytes_s": payload / share,
        "wire_bytes_s": (payload + HEADER * datagrams) / share,
        "datagrams_s": datagrams / share,
        "fetches_s": moved["fetches"] / share,
    }


def windows(samples: Sequence[dict], span_s: float) -> list[tuple[dict, dict]]:
    """Pairs of samples that lie `span_s` apart or a little more; where none do, the first and the last."""
    pairs = []
    for n, first in enumerate(samples):
        later = [one for one in samples[n + 1 :] if one["at_s"] - first["at_s"] >= 0.95 * span_s]
        if later:
            pairs.append((first, later[0]))
    return pairs or [(samples[0], samples[-1])]


def summed(values: Sequence[float]) -> dict:
    return {"median": statistics.median(values), "most": max(values), "least": min(values)}


def over_real(
    samples: Sequence[dict], pick: Callable = max, span_s: float = MINUTE, speaks: bool | None = None
) -> dict:
    """For each rate: every real backend's `pick` over windows of `span_s`, then over backends; `speaks`: over
    those that speak for their cell, or that do not."""
    found: dict[str, list[float]] = {name: [] for name in RATES}
    names = [name for name in samples[0]["real"] if all(name in one["real"] for one in samples)]
    if speaks is not None:
        names = [name for name in names if samples[0]["real"][name]["speaks"] == speaks]
    for name in names:
        rates = [
            real_rates(a["real"][name], b["real"][name], b["at_s"] - a["at_s"])
            for a, b in windows(samples, span_s)
        ]
        good = [rate for rate in rates if rate is not None]
        for field in RATES if good else ():
            found[field].append(pick(rate[field] for rate in good))
    told: dict = {field: summed(values) for field, values in found.items() if values}
    for field in ("rss_kb", "hwm_kb"):
        values = [max(one["real"][name][field] for one in samples) for name in names]
        if values:
            told[field] = summed(values)
    return told | {"backends": len(names)}


def over_hollow(samples: Sequence[dict], pick: Callable = max, span_s: float = MINUTE) -> dict:
    rates = [
        hollow_rates(a["hollow"], b["hollow"], b["at_s"] - a["at_s"]) for a, b in windows(samples, span_s)
    ]
    good = [rate for rate in rates if rate is not None]
    told = {field: pick(rate[field] for rate in good) for field in RATES} if good else {}
    later = [one["hollow"] for one in samples[1:]]
    speaking = [one["speakers_bytes_s"] / one["speakers"] for one in later if one["speakers"]]
    if speaking:
        told["speakers_bytes_s"] = pick(speaking)
    return told | {
        "busiest_bytes_s": max((one["most_bytes_s"] for one in later), default=0.0),
        "busiest_datagrams_s": max((one["most_datagrams_s"] for one in later), default=0.0),
    }


def alone(samples: Sequence[dict]) -> dict:
    """The real backend without a fleet, over the whole time."""
    first, last = samples[0], samples[-1]
    took = last["alone"]["cpu_s"] - first["alone"]["cpu_s"]
    return {
        "cpu_ms_s": 1000 * took / (last["at_s"] - first["at_s"]),
        "rss_kb": last["alone"]["rss_kb"],
        "hwm_kb": last["alone"]["hwm_kb"],
    }


def in_step(samples: Sequence[dict]) -> dict:
    """Whether the hollow processes kept up: their loops' lag, and how busy the busiest was."""
    late = max((one["hollow"] for one in samples[1:]), key=lambda one: one["lag_s"])
    lag = late["lag_s"]
    busy = 0.0
    for before, after in zip(samples, samples[1:], strict=False):
        passed = after["at_s"] - before["at_s"]
        took = zip(before["hollow"]["cpu_each_s"], after["hollow"]["cpu_each_s"], strict=True)
        busy = max([busy, *((b - a) / passed for a, b in took)])
    return {
        "kept": lag <= LATE_S and busy <= FULL,
        "lag_s": lag,
        "lag_used_s": late["lag_used_s"],
        "busiest_process": busy,
    }


def phase(samples: Sequence[dict], at_rest: bool) -> dict:
    """Of one script's samples: its worst minute, or, at rest, the whole of it."""
    span = samples[-1]["at_s"] - samples[0]["at_s"]
    over = span if at_rest else MINUTE
    return {
        "span_s": span,
        "real": over_real(samples, max, over),
        "speakers": over_real(samples, max, over, speaks=True),
        "others": over_real(samples, max, over, speaks=False),
        "hollow": over_hollow(samples, max, over),
        "alone": alone(samples) if "alone" in samples[0] else None,
        "step": in_step(samples),
    }
