"""Encodes typed messages as msgpack: a message is packed as its tag and its fields in order.

Compatibility rule: new fields are added at the end with a default, so that an older reader drops
them and a newer reader fills in the default. A field is never moved, retyped or removed.
"""

from collections.abc import Callable
from dataclasses import MISSING, dataclass, fields
from operator import attrgetter
from typing import Any, Final, TypeVar

import msgpack

from .exceptions import CodecError

T = TypeVar("T")

_EXT_MESSAGE: Final = 1
_types_by_tag: dict[int, type] = {}
_tags_by_type: dict[type, int] = {}
_fields_by_type: dict[type, tuple[str, ...]] = {}
_read_fields_by_type: dict[type, Callable[[object], tuple[Any, ...]]] = {}
_required_by_type: dict[type, int] = {}


def make_fields_reader(names: tuple[str, ...]) -> Callable[[object], tuple[Any, ...]]:
    """Return a function that reads the fields `names` of an object."""
    if len(names) > 1:
        return attrgetter(*names)
    return lambda value: tuple(getattr(value, name) for name in names)


def message(tag: int) -> Callable[[type[T]], type[T]]:
    """Return a decorator that registers a frozen data class as the message type `tag`."""

    def register(cls: type[T]) -> type[T]:
        if tag in _types_by_tag:
            raise ValueError(f"message tag {tag} is already registered")
        _types_by_tag[tag] = cls
        _tags_by_type[cls] = tag
        message_fields = fields(cls)  # type: ignore[arg-type]
        names = tuple(item.name for item in message_fields)
        _fields_by_type[cls] = names
        _read_fields_by_type[cls] = make_fields_reader(names)
        _required_by_type[cls] = sum(
            item.default is MISSING and item.default_factory is MISSING for item in message_fields
        )
        return cls

    return register


@dataclass(frozen=True, slots=True)
class Packed:
    """A message that was encoded before, to be written within other messages.

    `decode` returns the message itself.
    """

    ext: msgpack.ExtType


def pack(value: object) -> Any:
    """Encode a message that other messages will contain, often unchanged.

    The result, a `Packed`, takes the place of the message in a field of a message to be encoded.
    """
    return Packed(_pack_message(value))


def _pack_message(value: object) -> msgpack.ExtType:
    if isinstance(value, Packed):
        return value.ext
    tag = _tags_by_type.get(type(value))
    if tag is None:
        raise CodecError(f"{type(value).__name__} is not a registered message type")
    parts = _read_fields_by_type[type(value)](value)
    return msgpack.ExtType(_EXT_MESSAGE, encode((tag, *parts)))


def _unpack_message(code: int, data: bytes) -> object:
    if code != _EXT_MESSAGE:
        raise CodecError(f"unknown msgpack extension type {code}")
    tag, *values = msgpack.unpackb(data, use_list=False, ext_hook=_unpack_message)
    cls = _types_by_tag.get(tag)
    if cls is None:
        raise CodecError(f"unknown message tag {tag}", "upgrade this host")
    if len(values) < _required_by_type[cls]:
        raise CodecError(f"{cls.__name__} is missing required fields")
    return cls(*values[: len(_fields_by_type[cls])])


def encode(value: object) -> bytes:
    """Encode `value`, a message or a container of messages and scalars, as msgpack.

    Raises:
        CodecError: `value` holds something that msgpack cannot represent, such as an integer beyond
            64 bits.
    """
    try:
        return msgpack.packb(value, default=_pack_message)
    except CodecError:
        raise
    except (OverflowError, ValueError, TypeError) as error:
        raise CodecError(f"{type(value).__name__} cannot be encoded: {error}") from error


def decode(data: bytes) -> Any:
    """Decode the output of `encode`; sequences become tuples.

    Raises:
        CodecError: The data is malformed or contains an unknown message type.
    """
    try:
        return msgpack.unpackb(data, use_list=False, ext_hook=_unpack_message)
    except CodecError:
        raise
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise CodecError(f"bytes are not a valid message: {error}") from error
