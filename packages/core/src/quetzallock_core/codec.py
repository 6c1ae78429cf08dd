"""Typed messages as msgpack: a message is its tag and its fields in order.

Version rule: new fields are added at the end with a default, so that an older reader drops
them and a newer reader fills them in. A field is never moved, retyped or removed.
"""

from collections.abc import Callable
from dataclasses import MISSING, fields
from typing import Any, Final, TypeVar

import msgpack

from .exceptions import CodecError

T = TypeVar("T")

_EXT_MESSAGE: Final = 1
_types_by_tag: dict[int, type] = {}
_tags_by_type: dict[type, int] = {}
_fields_by_type: dict[type, tuple[str, ...]] = {}
_required_by_type: dict[type, int] = {}


def message(tag: int) -> Callable[[type[T]], type[T]]:
    """Return a decorator that makes a frozen data class a message with a fixed `tag`."""

    def enter(cls: type[T]) -> type[T]:
        if tag in _types_by_tag:
            raise ValueError(f"tag {tag} is used twice")
        _types_by_tag[tag] = cls
        _tags_by_type[cls] = tag
        members = fields(cls)  # type: ignore[arg-type]
        _fields_by_type[cls] = tuple(member.name for member in members)
        _required_by_type[cls] = sum(
            member.default is MISSING and member.default_factory is MISSING for member in members
        )
        return cls

    return enter


def _pack_message(value: object) -> msgpack.ExtType:
    tag = _tags_by_type.get(type(value))
    if tag is None:
        raise CodecError(f"{type(value).__name__} is not a message")
    parts = [getattr(value, name) for name in _fields_by_type[type(value)]]
    return msgpack.ExtType(_EXT_MESSAGE, encode([tag, *parts]))


def _unpack_message(code: int, data: bytes) -> object:
    if code != _EXT_MESSAGE:
        raise CodecError(f"unknown extension {code}")
    tag, *values = msgpack.unpackb(data, use_list=False, ext_hook=_unpack_message)
    cls = _types_by_tag.get(tag)
    if cls is None:
        raise CodecError(f"unknown message tag {tag}", "upgrade this host")
    if len(values) < _required_by_type[cls]:
        raise CodecError(f"{cls.__name__} lacks fields")
    return cls(*values[: len(_fields_by_type[cls])])


def encode(value: object) -> bytes:
    """Return `value`, a message or a container of messages and scalars, as msgpack."""
    return msgpack.packb(value, default=_pack_message)


def decode(data: bytes) -> Any:
    """Return the value that `encode` made `data` from, sequences as tuples.

    Raises:
        CodecError: The bytes are not such a value.
    """
    try:
        return msgpack.unpackb(data, use_list=False, ext_hook=_unpack_message)
    except CodecError:
        raise
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise CodecError(f"bytes are not a message: {error}") from error
