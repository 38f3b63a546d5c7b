"""The configuration as a register that is changed by compare-and-set.

Versions rise, so of two changes on one base at most one can have been accepted, and the accepted ones form
one chain from 0. A change without a definite answer may have been accepted or not; one that was read, or
that an accepted change is based on, was accepted.
"""

from tests.tier.simulation.history import Call, Change, History, hash_of

REFUSALS = (400, 409, 412)


def check_configuration(history: History, final: tuple[int, str] | None) -> list[str]:
    """All violations; `final` is the version and the text's digest as read at the end."""
    accepted = _accepted_changes(history, final)
    return [
        *_check_one_on_each_base(accepted),
        *_check_chain(history, accepted, final),
        *_check_refusals(history, accepted),
        *_check_reads(history, accepted),
    ]


def _accepted_changes(history: History, final: tuple[int, str] | None) -> dict[str, float]:
    """The changes that were certainly accepted, with the earliest time at which a client knew."""
    by_content = {(x.version, hash_of(x.text)): key for key, x in history.changes.items()}
    known: dict[str, float] = {}

    def learn(key: str | None, at: float) -> None:
        if key is not None and at < known.get(key, float("inf")):
            known[key] = at
            change = history.changes[key]
            parents = [k for k in history.changes if history.changes[k].version == change.base]
            if len(parents) == 1:
                learn(parents[0], at)

    for call in history.calls:
        if call.kind == "put" and call.status == 200:
            learn(call.key, call.ended_at)
        elif call.kind == "read" and call.client.startswith("operator") and call.value and call.value[0]:
            learn(by_content.get(call.value), call.ended_at)
    if final is not None:
        learn(by_content.get(final), float("inf"))
    return known


def _check_one_on_each_base(accepted: dict[str, float]) -> list[str]:
    bases: dict[str, str] = {}
    violations = []
    for key in accepted:
        base = key.split(">")[0]
        if base in bases:
            violations.append(f"{bases[base]} and {key} were both confirmed on {base}")
        bases[base] = key
    return violations


def _check_chain(history: History, accepted: dict[str, float], final: tuple[int, str] | None) -> list[str]:
    """Every accepted change is in the chain from 0 to the version that was read at the end."""
    if final is None:
        return ["the configuration was not read back"]
    version, content = final
    chain: set[str] = set()
    while version:
        key = next(
            (
                key
                for key, x in history.changes.items()
                if x.version == version and (content is None or hash_of(x.text) == content)
                and (content is not None or key in accepted or _is_only(history, x))
            ),
            None,
        )  # fmt: skip
        if key is None:
            return [f"version {version} was read back, which no client sent"]
        chain.add(key)
        version, content = history.changes[key].base, None  # type: ignore[assignment]
    return [f"{key} was confirmed but is not in the final version" for key in accepted if key not in chain]


def _is_only(history: History, change: Change) -> bool:
    return sum(1 for x in history.changes.values() if x.version == change.version) == 1


def _check_refusals(history: History, accepted: dict[str, float]) -> list[str]:
    """An accepted change is never refused later; a valid one on the newest version is not refused."""
    violations = []
    first_sent: dict[str, float] = {}
    for call in history.calls:
        if call.kind == "put":
            first_sent.setdefault(call.key, call.sent_at)
    for call in history.calls:
        if call.kind != "put" or call.status not in REFUSALS:
            continue
        if accepted.get(call.key, float("inf")) < call.sent_at:
            violations.append(f"{call.sent_at:.3f}: {call.key} was accepted, then refused with {call.status}")
        elif call.status == 412 and _is_on_newest(history, accepted, first_sent, call):
            violations.append(f"{call.sent_at:.3f}: {call.key} was refused on the newest version")
    return violations


def _is_on_newest(
    history: History, accepted: dict[str, float], first_sent: dict[str, float], call: Call
) -> bool:
    """Whether the base of a change was certainly the newest version while it was refused."""
    base = history.changes[call.key].base
    parent = next((key for key in accepted if history.changes[key].version == base), None)
    if base and (parent is None or accepted[parent] >= call.sent_at):
        return False
    children = [key for key, x in history.changes.items() if x.base == base and key in first_sent]
    return all(first_sent[key] > call.ended_at or key == call.key for key in children)


def _check_reads(history: History, accepted: dict[str, float]) -> list[str]:
    """No read is older than what was confirmed, or read, before it was sent."""
    violations = []
    known = sorted((at, history.changes[key].version) for key, at in accepted.items())
    for call in history.calls:
        if call.kind != "read" or not call.client.startswith("operator") or call.value is None:
            continue
        newest = max((version for at, version in known if at < call.sent_at), default=0)
        if call.value[0] < newest:
            violations.append(f"{call.sent_at:.3f}: read {call.value[0]} after {newest} was confirmed")
    return violations
