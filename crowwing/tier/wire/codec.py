"""Typed messages to bytes and back: a CBOR tag around the message's name and its fields in order."""

from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from typing import Any, TypeVar

import cbor2

MESSAGE_TAG = 40_000
T = TypeVar("T")
_TYPES: dict[str, type] = {}
_FIELDS: dict[type, tuple[str, ...]] = {}


class MessageError(Exception):
    """Bytes that are no known message."""


def message(cls: type[T]) -> type[T]:
    """Registers a class as something that can be sent; it is, or is made by the next decorator, a dataclass.

    Fields hold plain values, tuples or messages.
    """
    _TYPES[cls.__name__] = cls
    return cls


def _fields_of(kind: type) -> tuple[str, ...]:
    """The names of a message's fields; none for plain values."""
    names = _FIELDS.get(kind)
    if names is None:
        names = tuple(field.name for field in fields(kind)) if is_dataclass(kind) else ()
        _FIELDS[kind] = names
    return names


def _to_plain(value: Any) -> Any:  # noqa: ANN401
    kind = type(value)
    if kind is str or kind is int or kind is bytes:
        return value
    if kind is tuple or kind is list:
        return [_to_plain(item) for item in value]
    if kind is dict:
        return {key: _to_plain(item) for key, item in value.items()}
    if _TYPES.get(kind.__name__) is kind:
        return cbor2.CBORTag(
            MESSAGE_TAG, [kind.__name__, *[_to_plain(getattr(value, name)) for name in _fields_of(kind)]]
        )
    return value


def _from_plain(value: Any) -> Any:  # noqa: ANN401
    kind = type(value)
    if kind is str or kind is int or kind is bytes:
        return value
    if isinstance(value, cbor2.CBORTag):
        if value.tag != MESSAGE_TAG or not value.value:
            raise MessageError(f"unknown tag {value.tag}")
        name, *values = value.value
        cls = _TYPES.get(name)
        if cls is None:
            raise MessageError(f"unknown message {name!r}")
        return cls(*[_from_plain(item) for item in values])
    if isinstance(value, (list, tuple)):  # cbor2 gives either
        return tuple([_from_plain(item) for item in value])
    if isinstance(value, Mapping):
        return {key: _from_plain(item) for key, item in value.items()}
    return value


def encode(value: object) -> bytes:
    """The bytes of a message or of plain values that may hold messages."""
    return cbor2.dumps(_to_plain(value))


def decode(data: bytes) -> Any:  # noqa: ANN401
    """The message of some bytes, lists as tuples; raises MessageError."""
    try:
        return _from_plain(cbor2.loads(data))
    except (cbor2.CBORDecodeError, TypeError, ValueError, IndexError) as error:
        raise MessageError(str(error)) from error
