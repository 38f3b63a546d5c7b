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

SCHEMA_PATH = Path(__file__).with_name("operator.schema.json")
# Bytes. Guards against a log or a dump named by mistake, read whole at every start. 5,200 members named with
# address, region and zone are 0.5 MB, 0.8 MB where each field has its line (docs/measurements/operator.md).
MAX_FILE_BYTES = 1 << 20
JSON_TYPES = {
    "integer": int,
    "number": (int, float),
    "string": str,
    "boolean": bool,
    "array": list,
    "object": dict,
}
# The words of the schema that are followed; those that say nothing of what is allowed.
CHECKED_KEYWORDS = {
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
IGNORED_KEYWORDS = {"title", "description", "default", "additionalProperties", "$defs"}


class OperatorFileError(ValueError):
    """One line a mistake, each with the file and the JSON path."""


def load_schema() -> dict:
    """The schema of the whole file."""
    return orjson.loads(SCHEMA_PATH.read_bytes())


def _resolve(part: dict, root: dict) -> dict:
    """A part of the schema, or the definition that it names."""
    return root["$defs"][part["$ref"].rpartition("/")[2]] if "$ref" in part else part


def find_errors(value: object, part: dict, root: dict, path: str = "$") -> Iterator[str]:
    """Every mistake in a decoded file, each with its JSON path."""
    part = _resolve(part, root)
    if (json_type := part.get("type")) is not None:
        # bool is a kind of int for Python, and none in JSON
        if not isinstance(value, JSON_TYPES[json_type]) or (
            isinstance(value, bool) and json_type != "boolean"
        ):
            yield f"{path}: is no {json_type}"
            return
    if "enum" in part and not any(
        value == allowed and type(value) is type(allowed) for allowed in part["enum"]
    ):
        yield f"{path}: is none of {', '.join(map(str, part['enum']))}"
    if "minimum" in part and value < part["minimum"]:
        yield f"{path}: is under {part['minimum']}"
    if "maximum" in part and value > part["maximum"]:
        yield f"{path}: is over {part['maximum']}"
    if "minItems" in part and len(value) < part["minItems"]:
        yield f"{path}: has under {part['minItems']} items"
    if "minLength" in part and len(value) < part["minLength"]:
        yield f"{path}: is shorter than {part['minLength']}"
    if "items" in part:
        for number, item in enumerate(value):
            yield from find_errors(item, part["items"], root, f"{path}[{number}]")
    if "properties" in part:
        fields = part["properties"]
        yield from (f"{path}.{name}: unknown name" for name in value if name not in fields)
        yield from (f"{path}.{name}: is missing" for name in part["required"] if name not in value)
        for name in fields.keys() & value.keys():
            yield from find_errors(value[name], fields[name], root, f"{path}.{name}")


def with_defaults(section_data: dict, part: dict, root: dict) -> SimpleNamespace:
    """A checked section with the defaults of what it leaves out; None for a section that is not there."""
    section = SimpleNamespace()
    for name, field in part["properties"].items():
        field_schema = _resolve(field, root)
        value = section_data.get(name, field_schema.get("default"))
        if "properties" in field_schema and value is not None:
            value = with_defaults(value, field_schema, root)
        setattr(section, name, value)
    return section


def load(path: str | os.PathLike) -> dict:
    """The file decoded and free of mistakes. BadOperator says all that is wrong, a line each."""
    try:
        # Guards against a pipe or a device named by mistake: opening or reading one may never end.
        if not stat.S_ISREG(os.stat(path).st_mode):
            raise OperatorFileError(f"{path}: is no file")
        with open(path, "rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise OperatorFileError(f"{path}: {error.strerror}") from None
    if len(text) > MAX_FILE_BYTES:
        raise OperatorFileError(f"{path}: is over {MAX_FILE_BYTES >> 10} kB")
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise OperatorFileError(f"{path}: no JSON: {error}") from None
    root = load_schema()
    if errors := sorted(find_errors(value, root, root)):
        raise OperatorFileError("\n".join(f"{path}: {line}" for line in errors))
    return value


def read(path: str | os.PathLike) -> SimpleNamespace:
    """The file's sections as attributes, defaults filled in, and None for what is not switched on."""
    root = load_schema()
    return with_defaults(load(path), _resolve(root, root), root)
