"""The operator file as the backend reads it: in its one process, and light.

It is checked against operator.schema.json beside this file, written from the typed form in operator.py. What
that form imports would stay in each backend's memory for good: 6 MB (docs/measurements/operator.md).
"""

import os
import stat
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import orjson

SCHEMA = Path(__file__).with_name("operator.schema.json")
# Bytes. Guards against a log or a dump named by mistake, read whole at every start. 5,200 members named with
# address, region and zone are 0.5 MB, 0.8 MB where each field has its line (docs/measurements/operator.md).
SIZE_MOST = 1 << 20
KINDS = {
    "integer": int,
    "number": (int, float),
    "string": str,
    "boolean": bool,
    "array": list,
    "object": dict,
}
# The words of the schema that are followed; those that say nothing of what is allowed.
FOLLOWED = {
    "type",
    "enum",
    "minimum",
    "maximum",
    "minItems",
    "minLength",
    "items",
    "properties",
    "required",
    "$ref",
}
SILENT = {"title", "description", "default", "additionalProperties", "$defs"}


class BadOperator(ValueError):
    """One line a mistake, each with the file and the JSON path."""


def form() -> dict:
    """The schema of the whole file."""
    return orjson.loads(SCHEMA.read_bytes())


def _meant(part: dict, root: dict) -> dict:
    """A part of the schema, or the definition that it names."""
    return root["$defs"][part["$ref"].rpartition("/")[2]] if "$ref" in part else part


def mistakes(told: object, part: dict, root: dict, path: str = "$") -> Iterator[str]:
    """Every mistake in a decoded file, each with its JSON path."""
    part = _meant(part, root)
    if (kind := part.get("type")) is not None:
        # bool is a kind of int for Python, and none in JSON
        if not isinstance(told, KINDS[kind]) or (isinstance(told, bool) and kind != "boolean"):
            yield f"{path}: is no {kind}"
            return
    if "enum" in part and not any(told == one and type(told) is type(one) for one in part["enum"]):
        yield f"{path}: is none of {', '.join(map(str, part['enum']))}"
    if "minimum" in part and told < part["minimum"]:
        yield f"{path}: is under {part['minimum']}"
    if "maximum" in part and told > part["maximum"]:
        yield f"{path}: is over {part['maximum']}"
    if "minItems" in part and len(told) < part["minItems"]:
        yield f"{path}: has under {part['minItems']} items"
    if "minLength" in part and len(told) < part["minLength"]:
        yield f"{path}: is shorter than {part['minLength']}"
    if "items" in part:
        for number, item in enumerate(told):
            yield from mistakes(item, part["items"], root, f"{path}[{number}]")
    if "properties" in part:
        fields = part["properties"]
        yield from (f"{path}.{name}: unknown name" for name in told if name not in fields)
        yield from (f"{path}.{name}: is missing" for name in part["required"] if name not in told)
        for name in fields.keys() & told.keys():
            yield from mistakes(told[name], fields[name], root, f"{path}.{name}")


def filled(told: dict, part: dict, root: dict) -> SimpleNamespace:
    """A checked section with the defaults of what it leaves out; None for a section that is not there."""
    whole = SimpleNamespace()
    for name, field in part["properties"].items():
        meant = _meant(field, root)
        value = told.get(name, meant.get("default"))
        if "properties" in meant and value is not None:
            value = filled(value, meant, root)
        setattr(whole, name, value)
    return whole


def load(path: str | os.PathLike) -> dict:
    """The file decoded and free of mistakes. BadOperator says all that is wrong, a line each."""
    try:
        # Guards against a pipe or a device named by mistake: opening or reading one may never end.
        if not stat.S_ISREG(os.stat(path).st_mode):
            raise BadOperator(f"{path}: is no file")
        with open(path, "rb") as file:
            text = file.read(SIZE_MOST + 1)
    except OSError as wrong:
        raise BadOperator(f"{path}: {wrong.strerror}") from None
    if len(text) > SIZE_MOST:
        raise BadOperator(f"{path}: is over {SIZE_MOST >> 10} kB")
    try:
        told = orjson.loads(text)
    except orjson.JSONDecodeError as wrong:
        raise BadOperator(f"{path}: no JSON: {wrong}") from None
    root = form()
    if found := sorted(mistakes(told, root, root)):
        raise BadOperator("\n".join(f"{path}: {line}" for line in found))
    return told


def read(path: str | os.PathLike) -> SimpleNamespace:
    """The file's sections as attributes, defaults filled in, and None for what is not switched on."""
    root = form()
    return filled(load(path), _meant(root, root), root)
