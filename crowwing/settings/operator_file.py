"""Reads the operator file in the backend process, with little memory.

The file is checked against operator.schema.json in this folder, generated from the types in operator.py.
Importing those types would cost each backend 6 MB of memory (docs/measurements/operator.md).
"""

import os
import stat
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import orjson

SCHEMA_PATH = Path(__file__).with_name("operator.schema.json")
# Limits what is read if a log or dump is named by mistake. 5,200 members with address, region
# and zone take 0.5 MB, or 0.8 MB with one line per field (docs/measurements/operator.md).
MAX_FILE_BYTES = 1 << 20
JSON_TYPES = {
    "integer": int,
    "number": (int, float),
    "string": str,
    "boolean": bool,
    "array": list,
    "object": dict,
}
# The schema keywords that are checked, and those that are ignored because they restrict nothing.
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
    """One line per error, each with the file and the JSON path."""


def load_schema() -> dict:
    """Reads the schema of the file."""
    return orjson.loads(SCHEMA_PATH.read_bytes())


def _resolve(part: dict, root: dict) -> dict:
    """Returns a part of the schema, or the definition that it refers to."""
    return root["$defs"][part["$ref"].rpartition("/")[2]] if "$ref" in part else part


def find_errors(value: object, part: dict, root: dict, path: str = "$") -> Iterator[str]:
    """Yields every error in a decoded file, each with its JSON path."""
    part = _resolve(part, root)
    if (json_type := part.get("type")) is not None:
        # bool is a subclass of int in Python, but not a number in JSON
        if not isinstance(value, JSON_TYPES[json_type]) or (
            isinstance(value, bool) and json_type != "boolean"
        ):
            yield f"{path}: is not of type {json_type}"
            return
    if "enum" in part and not any(
        value == allowed and type(value) is type(allowed) for allowed in part["enum"]
    ):
        yield f"{path}: is not one of {', '.join(map(str, part['enum']))}"
    if "minimum" in part and value < part["minimum"]:
        yield f"{path}: is less than {part['minimum']}"
    if "maximum" in part and value > part["maximum"]:
        yield f"{path}: is greater than {part['maximum']}"
    if "minItems" in part and len(value) < part["minItems"]:
        yield f"{path}: has fewer than {part['minItems']} items"
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
    """Converts a valid section to attributes: defaults for absent fields, None for absent subsections."""
    section = SimpleNamespace()
    for name, field in part["properties"].items():
        field_schema = _resolve(field, root)
        value = section_data.get(name, field_schema.get("default"))
        if "properties" in field_schema and value is not None:
            value = with_defaults(value, field_schema, root)
        setattr(section, name, value)
    return section


def load(path: str | os.PathLike) -> dict:
    """Returns the decoded, valid file; raises OperatorFileError with one line for each error."""
    try:
        # Opening or reading a pipe or device named by mistake could block forever.
        if not stat.S_ISREG(os.stat(path).st_mode):
            raise OperatorFileError(f"{path}: is not a regular file")
        with open(path, "rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise OperatorFileError(f"{path}: {error.strerror}") from None
    if len(text) > MAX_FILE_BYTES:
        raise OperatorFileError(f"{path}: is larger than {MAX_FILE_BYTES >> 10} kB")
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise OperatorFileError(f"{path}: is not valid JSON: {error}") from None
    root = load_schema()
    if errors := sorted(find_errors(value, root, root)):
        raise OperatorFileError("\n".join(f"{path}: {line}" for line in errors))
    return value


def read(path: str | os.PathLike) -> SimpleNamespace:
    """Loads the file as attributes: defaults for absent fields, None for absent sections."""
    root = load_schema()
    return with_defaults(load(path), _resolve(root, root), root)
