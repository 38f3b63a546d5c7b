"""The settings object, as every wire brings it, to the module's Premises. No decisions live here."""

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


MIN_COLD_SPEED = 0.01  # share of its speed that a cold backend is taken to have: times are divided by it


class InvalidSettingsError(ValueError):
    """The settings at start cannot be read."""


def us(ms: float) -> int:
    return round(ms * 1000)


def decode(told: object) -> tuple[ServerFacts, WireNames]:
    """What the settings say, as JSON text or already read: the module's facts, and what things are called."""
    try:
        if isinstance(told, bytes | str):
            told = json.loads(told)
        info, rules, caps = told["family_info"], told["invariants"], told.get("caps", {})
        calls = info.get("class_calls") or []
        without = info.get("worth_without") or []
        has_downstream = info.get("downstream", "none") != "none"
        realms = told.get("realms") or ()
        classes = tuple(
            RequestClass(
                latency_target=us(lane["promise"]),
                deadline=us(lane["deadline"]),
                idempotency=_IDEMPOTENCY[lane["semantics"]],
                dedup_window=us(lane.get("dedup_window", 0)),
                makes_calls=has_downstream and (bool(calls[n]) if n < len(calls) else True),
                partial_value=float(without[n]) if n < len(without) else 0.0,
                value=float(lane.get("worth", 1)),
            )
            for n, lane in enumerate(told["lanes"])
        )
        facts = ServerFacts(
            classes=classes,
            quotas=tuple(float(realm.get("quota_per_s", 0)) for realm in realms),
            over_quota_value=float(told.get("over_share_worth", 1)),
            backends=int(told.get("servers", 1)),
            cores=max(1, int(info["cpus"])),
            memory_kb=float(info["ram_kb"]),
            run_factor=float(info.get("run_factor", 1)),
            key_kb=float(info.get("key_kb", 0)),
            halt=_HALTS[info.get("halt", "none")],
            signal=_SIGNALS[info.get("signal", "none")],
            max_retry_after=us(caps.get("max_retry_after", 0)) if caps.get("retry_after") else 0,
            max_per_core=float(rules["fall_multiple"]),
            cold=bool(info.get("cold", False)),
            cold_speed=max(MIN_COLD_SPEED, float(rules.get("cold_from", 1))),
            warm_up=us(rules.get("cold", 0)),
            call_quota=float(info.get("calls_out", 0)) if info.get("downstream") == "one_for_all" else 0.0,
            quota_window=us(info.get("calls_over", 0)),
            linger=us(info.get("lingers", 0)),
            cache_ttl=us(info.get("fresh_for", 0)),
            max_idle_time=us(info.get("keepalive_max", 0)),
            answer_slack=us(rules.get("answer_slack", 0)),
            drain_grace=us(rules.get("stop_sending_within", 0)),
        )
        names = WireNames(
            classes=tuple(str(lane.get("name", n)) for n, lane in enumerate(told["lanes"])),
            customers=tuple(str(realm.get("name", n)) for n, realm in enumerate(realms)),
            gauges=tuple(str(gauge) for gauge in info.get("gauges") or ()),
            passes_deadline=bool(info.get("passes_deadline", False)),
            deep_checks=bool(info.get("deep_checks", False)),
        )
        return facts, names
    except KeyError as missing:
        raise InvalidSettingsError(f"settings: missing or unknown {missing}") from None
    except (ValueError, TypeError, AttributeError, RecursionError, OverflowError) as wrong:
        raise InvalidSettingsError(f"settings: {wrong}") from None
