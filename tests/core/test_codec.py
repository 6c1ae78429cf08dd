"""Tests of the message encoding."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzallock_core import codec
from quetzallock_core.exceptions import CodecError
from quetzallock_core.members.models import Ping, Rumour
from quetzallock_core.workers.models import Resources, TaskStatus


@given(
    st.builds(
        TaskStatus,
        task=st.text(),
        attempt=st.integers(0, 2**31),
        state=st.text(),
        demand=st.builds(Resources, st.integers(0, 2**31), st.integers(0, 2**31)),
        progress_ms=st.integers(0, 2**40),
    )
)
def test_message_round_trip(status: TaskStatus) -> None:
    assert codec.decode(codec.encode(status)) == status


def test_nested_message_round_trip() -> None:
    ping = Ping(7, (Rumour("h", 1, 2, "alive", "127.0.0.1:1", "dc"),), -1, True)
    assert codec.decode(codec.encode(ping)) == ping


def test_fields_of_newer_version_are_dropped() -> None:
    newer = codec.msgpack.ExtType(1, codec.encode([1, 5, 6, 7, "new"]))
    assert codec.decode(codec.encode(newer)) == Resources(5, 6, 7)


def test_fields_missing_from_older_version_get_defaults() -> None:
    older = codec.msgpack.ExtType(1, codec.encode([1, 5]))
    assert codec.decode(codec.encode(older)) == Resources(5, 0, 0)


@pytest.mark.parametrize("tag", [999, "x"])
def test_unknown_tag_raises_codec_error(tag: object) -> None:
    raw = codec.encode(codec.msgpack.ExtType(1, codec.encode([tag])))
    with pytest.raises(CodecError):
        codec.decode(raw)


@given(st.binary(max_size=40))
def test_arbitrary_bytes_decode_or_raise_codec_error(raw: bytes) -> None:
    try:
        codec.decode(raw)
    except CodecError as error:
        assert error.code == "undecodable"
