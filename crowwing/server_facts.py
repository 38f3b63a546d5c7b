"""Decodes the settings object, the same on every wire, to ServerFacts. No decisions are made here."""

import json

from crowwing.contract import Halt, Idempotency, LoadSignal, RequestClass, ServerFacts, WireNames

_IDEMPOTENCY = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
_HALTS = {"none": Halt.NONE, "discard": Halt.DISCARD, "freeze": Halt.FREEZE}
_SIGNALS = {
    "none": LoadSignal.NONE,
    "floor": LoadSignal.FLOOR,
    "allowance": LoadSignal.ALLOWANCE,
    "weight": LoadSignal.WEIGHT,
}


MIN_COLD_SPEED = 0.01  # lower bound of cold_speed, since times are divided by it


class InvalidSettingsError(ValueError):
    """The settings cannot be decoded."""


def ms_to_us(ms: float) -> int:
    return round(ms * 1000)


def decode(settings: object) -> tuple[ServerFacts, WireNames]:
    """The facts and names in the settings, given as JSON text or already parsed."""
    try:
        if isinstance(settings, bytes | str):
            settings = json.loads(settings)
        info, rules, caps = settings["family_info"], settings["invariants"], settings.get("caps", {})
        class_calls = info.get("class_calls") or []
        partial_values = info.get("worth_without") or []
        has_downstream = info.get("downstream", "none") != "none"
        realms = settings.get("realms") or ()
        classes = tuple(
            RequestClass(
                latency_target=ms_to_us(lane["promise"]),
                deadline=ms_to_us(lane["deadline"]),
                idempotency=_IDEMPOTENCY[lane["semantics"]],
                dedup_window=ms_to_us(lane.get("dedup_window", 0)),
                makes_calls=has_downstream and (bool(class_calls[n]) if n < len(class_calls) else True),
                partial_value=float(partial_values[n]) if n < len(partial_values) else 0.0,
                value=float(lane.get("worth", 1)),
            )
            for n, lane in enumerate(settings["lanes"])
        )
        facts = ServerFacts(
            classes=classes,
            quotas=tuple(float(realm.get("quota_per_s", 0)) for realm in realms),
            over_quota_value=float(settings.get("over_share_worth", 1)),
            backends=int(settings.get("servers", 1)),
            cores=max(1, int(info["cpus"])),
            memory_kb=float(info["ram_kb"]),
            run_factor=float(info.get("run_factor", 1)),
            key_kb=float(info.get("key_kb", 0)),
            halt=_HALTS[info.get("halt", "none")],
            signal=_SIGNALS[info.get("signal", "none")],
            max_retry_after=ms_to_us(caps.get("max_retry_after", 0)) if caps.get("retry_after") else 0,
            max_per_core=float(rules["fall_multiple"]),
            cold=bool(info.get("cold", False)),
            cold_speed=max(MIN_COLD_SPEED, float(rules.get("cold_from", 1))),
            warm_up=ms_to_us(rules.get("cold", 0)),
            call_quota=float(info.get("calls_out", 0)) if info.get("downstream") == "one_for_all" else 0.0,
            quota_window=ms_to_us(info.get("calls_over", 0)),
            linger=ms_to_us(info.get("lingers", 0)),
            cache_ttl=ms_to_us(info.get("fresh_for", 0)),
            max_idle_time=ms_to_us(info.get("keepalive_max", 0)),
            answer_slack=ms_to_us(rules.get("answer_slack", 0)),
            drain_grace=ms_to_us(rules.get("stop_sending_within", 0)),
        )
        names = WireNames(
            classes=tuple(str(lane.get("name", n)) for n, lane in enumerate(settings["lanes"])),
            customers=tuple(str(realm.get("name", n)) for n, realm in enumerate(realms)),
            gauges=tuple(str(gauge) for gauge in info.get("gauges") or ()),
            passes_deadline=bool(info.get("passes_deadline", False)),
            deep_checks=bool(info.get("deep_checks", False)),
        )
        return facts, names
    except KeyError as error:
        raise InvalidSettingsError(f"settings: missing or unknown {error}") from None
    except (ValueError, TypeError, AttributeError, RecursionError, OverflowError) as error:
        raise InvalidSettingsError(f"settings: {error}") from None
