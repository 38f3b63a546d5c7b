"""The settings object, as every wire brings it, to the module's Premises. No decisions live here."""

import json

from crowwing.contract import Halt, Names, Premises, Repeat, Signal, TrafficType

_REPEATS = {"safe": Repeat.REDOABLE, "keyed": Repeat.LABELLED, "unsafe": Repeat.IRREVERSIBLE}
_HALTS = {"none": Halt.NONE, "discard": Halt.DISCARD, "freeze": Halt.FREEZE}
_SIGNALS = {
    "none": Signal.NONE,
    "floor": Signal.FLOOR,
    "allowance": Signal.ALLOWANCE,
    "weight": Signal.WEIGHT,
}


LEAST_SPEED = 0.01  # share of its speed that a cold backend is taken to have: times are divided by it


class BadPremises(ValueError):
    """The settings at start cannot be read."""


def us(ms: float) -> int:
    return round(ms * 1000)


def decode(told: object) -> tuple[Premises, Names]:
    """What the settings say, as JSON text or already read: the module's facts, and what things are called."""
    try:
        if isinstance(told, bytes | str):
            told = json.loads(told)
        info, rules, caps = told["family_info"], told["invariants"], told.get("caps", {})
        calls = info.get("class_calls") or []
        without = info.get("worth_without") or []
        below = info.get("downstream", "none") != "none"
        realms = told.get("realms") or ()
        types = tuple(
            TrafficType(
                expected_time=us(lane["promise"]),
                outer_limit=us(lane["deadline"]),
                repeat=_REPEATS[lane["semantics"]],
                window=us(lane.get("dedup_window", 0)),
                calls=below and (bool(calls[n]) if n < len(calls) else True),
                credit_without=float(without[n]) if n < len(without) else 0.0,
                credit=float(lane.get("worth", 1)),
            )
            for n, lane in enumerate(told["lanes"])
        )
        facts = Premises(
            types=types,
            shares=tuple(float(realm.get("quota_per_s", 0)) for realm in realms),
            over_share_credit=float(told.get("over_share_worth", 1)),
            fleet=int(told.get("servers", 1)),
            cores=max(1, int(info["cpus"])),
            memory_kb=float(info["ram_kb"]),
            run_factor=float(info.get("run_factor", 1)),
            key_kb=float(info.get("key_kb", 0)),
            halt=_HALTS[info.get("halt", "none")],
            signal=_SIGNALS[info.get("signal", "none")],
            stay_away_most=us(caps.get("max_retry_after", 0)) if caps.get("retry_after") else 0,
            crowd=float(rules["fall_multiple"]),
            cold=bool(info.get("cold", False)),
            cold_from=max(LEAST_SPEED, float(rules.get("cold_from", 1))),
            cold_for=us(rules.get("cold", 0)),
            calls_share=float(info.get("calls_out", 0)) if info.get("downstream") == "one_for_all" else 0.0,
            calls_over=us(info.get("calls_over", 0)),
            lingers=us(info.get("lingers", 0)),
            fresh_for=us(info.get("fresh_for", 0)),
            idle_most=us(info.get("keepalive_max", 0)),
            answer_slack=us(rules.get("answer_slack", 0)),
            grace=us(rules.get("stop_sending_within", 0)),
        )
        names = Names(
            types=tuple(str(lane.get("name", n)) for n, lane in enumerate(told["lanes"])),
            customers=tuple(str(realm.get("name", n)) for n, realm in enumerate(realms)),
            gauges=tuple(str(gauge) for gauge in info.get("gauges") or ()),
            tells_patience=bool(info.get("passes_deadline", False)),
            deep_checks=bool(info.get("deep_checks", False)),
        )
        return facts, names
    except KeyError as missing:
        raise BadPremises(f"settings: missing or unknown {missing}") from None
    except (ValueError, TypeError, AttributeError, RecursionError, OverflowError) as wrong:
        raise BadPremises(f"settings: {wrong}") from None
