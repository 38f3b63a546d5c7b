"""The operator file as typed values. A subsystem is on only where its section is there; `{}` is all off.

Read by the backend when CROWWING_OPERATOR names a file, and by `crowwing settings`. Units stand in the names.
"""

from pathlib import Path
from types import UnionType
from typing import Annotated, Any, Literal, get_args, get_origin

import msgspec
from msgspec import Meta, Struct


class BadOperator(ValueError):
    """One line a mistake, each with the file and the JSON path."""


class Section(Struct, forbid_unknown_fields=True, frozen=True):
    """What every section shares: unknown names are mistakes."""


class Records(Section):
    """What the backend writes down of itself."""

    figures_every_ms: Annotated[
        int, Meta(ge=200, le=600_000, description="Time between two `figures` lines; counter: `figures`.")
    ] = 5000


class Storm(Section):
    """The sight of retry storms (docs/storm.md)."""

    prints: Annotated[
        tuple[Literal["type", "customer", "body", "kb", "rank"], ...],
        Meta(min_length=1, description="What of a ticket stays the same in a repeat."),
    ] = ("type", "customer", "body", "kb", "rank")
    window_s: Annotated[
        float, Meta(ge=1, le=120, description="How long a ticket that was turned away is remembered.")
    ] = 10.0
    prints_most: Annotated[
        int, Meta(ge=100, le=1_000_000, description="Prints in each of two windows; 5 to 9 bytes a print.")
    ] = 4000
    lowers_repeats: Annotated[
        bool, Meta(description="In a storm, likely repeats rank as tickets beyond their customer's share.")
    ] = False
    paces_returns: Annotated[
        bool, Meta(description="In a storm, callers sent away get places to come back spread over time.")
    ] = False
    retry_after: Annotated[
        bool, Meta(description="Advice to stay away also goes out as Retry-After, in whole seconds.")
    ] = False


class Operator(Section):
    """Everything that an operator can switch on."""

    version: Annotated[Literal[1], Meta(description="Of this form of the file.")] = 1
    records: Records | None = None
    storm: Storm | None = None


def schema() -> bytes:
    """The JSON Schema that stands in deploy/operator.schema.json."""
    return msgspec.json.format(msgspec.json.encode(msgspec.json.schema(Operator)), indent=2) + b"\n"


def mistakes(told: object, kind: Any = Operator, path: str = "$") -> list[str]:  # noqa: ANN401
    """Every mistake in a decoded file, each with its JSON path."""
    if get_origin(kind) is UnionType:
        if told is None:
            return []
        kind = next(part for part in get_args(kind) if part is not type(None))
    if not (isinstance(kind, type) and issubclass(kind, Struct)) or not isinstance(told, dict):
        try:
            msgspec.convert(told, kind)
        except msgspec.ValidationError as wrong:
            text, _, below = str(wrong).partition(" - at `$")
            return [f"{path}{below.rstrip('`')}: {text}"]
        return []
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    found = [f"{path}.{name}: unknown name" for name in told if name not in fields]
    for name, field in fields.items():
        if name in told:
            found += mistakes(told[name], field.type, f"{path}.{name}")
        elif field.required:
            found.append(f"{path}.{name}: is missing")
    return found


def read(path: Path) -> Operator:
    """BadOperator says all that is wrong, a line each."""
    try:
        told = msgspec.json.decode(path.read_bytes())
    except OSError as wrong:
        raise BadOperator(f"{path}: {wrong.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
        raise BadOperator(f"{path}: no JSON: {wrong}") from None
    if found := mistakes(told):
        raise BadOperator("\n".join(f"{path}: {line}" for line in found))
    return msgspec.convert(told, Operator)
