"""Encodes and decodes typed messages: a CBOR tag around the message's name and its fields in order."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from typing import Any, TypeAlias, TypeVar, cast

import cbor2

from crowwing.tier.wire.errors import MessageError, UnknownMessageError, UnknownTagError

MESSAGE_TAG = 40_000  # the CBOR tag of all messages
MessageT = TypeVar("MessageT")

# The result of `decode`: a registered message, or plain values that may contain messages. The type is known
# only after decoding, so receivers match on the class. This is the only untyped value in the package.
Decoded: TypeAlias = Any


@dataclass(frozen=True)
class _Registration:
    """The encoding of a message class."""

    wire_name: str
    field_names: tuple[str, ...]


_CLASSES: dict[str, type[Any]] = {}  # by wire name
_REGISTERED: dict[type, _Registration] = {}


def message(wire_name: str) -> Callable[[type[MessageT]], type[MessageT]]:
    """Registers a dataclass as a message that is sent to other processes and stored on disk.

    Other versions read and write the name and the order of the fields: both must stay the same if the class
    or its fields are renamed. Field values are plain values, tuples or messages.

    Args:
        wire_name: the unique encoded name of the message.

    Returns:
        A decorator that returns the class unchanged.
    """

    def register(cls: type[MessageT]) -> type[MessageT]:
        assert wire_name not in _CLASSES, f"two messages are named {wire_name}"
        _CLASSES[wire_name] = cls
        field_names = tuple(field.name for field in fields(cast("type[Any]", cls)))
        _REGISTERED[cls] = _Registration(wire_name, field_names)
        return cls

    return register


def wire_name(cls: type) -> str | None:
    """The encoded name of a message; None for a class that is not a message."""
    registered = _REGISTERED.get(cls)
    return None if registered is None else registered.wire_name


def wire_names() -> frozenset[str]:
    """The encoded names of all messages registered in this process."""
    return frozenset(_CLASSES)


def _to_plain(value: Decoded) -> object:
    kind = type(value)
    if kind is str or kind is int or kind is bytes:
        return value
    if kind is tuple or kind is list:
        return [_to_plain(item) for item in value]
    if kind is dict:
        return {key: _to_plain(item) for key, item in value.items()}
    registered = _REGISTERED.get(kind)
    if registered is None:
        return value
    values = [_to_plain(getattr(value, name)) for name in registered.field_names]
    return cbor2.CBORTag(MESSAGE_TAG, [registered.wire_name, *values])


def _from_plain(value: object) -> Decoded:
    kind = type(value)
    if kind is str or kind is int or kind is bytes:
        return value
    if isinstance(value, cbor2.CBORTag):
        if value.tag != MESSAGE_TAG or not value.value:
            raise UnknownTagError(value.tag)
        name, *values = value.value
        cls = _CLASSES.get(name)
        if cls is None:
            raise UnknownMessageError(name)
        return cls(*[_from_plain(item) for item in values])
    if isinstance(value, (list, tuple)):  # cbor2 returns either
        return tuple([_from_plain(item) for item in value])
    if isinstance(value, Mapping):
        return {key: _from_plain(item) for key, item in value.items()}
    return value


def encode(value: object) -> bytes:
    """Encodes a message, or plain values that may contain messages."""
    return cbor2.dumps(_to_plain(value))


def decode(data: bytes) -> Decoded:
    """Decodes the result of `encode`; lists are returned as tuples.

    Raises:
        MessageError: the bytes are malformed, or a message that this version does not know.
    """
    try:
        return _from_plain(cbor2.loads(data))
    except (
        cbor2.CBORDecodeError, TypeError, ValueError, IndexError, OverflowError, RecursionError,
    ) as error:  # fmt: skip
        raise MessageError(str(error)) from error
