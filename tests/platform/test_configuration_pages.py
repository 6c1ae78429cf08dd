"""What a read of the configuration tells beside its records."""

import json
from typing import Any

import pytest

from quetzallock_daemon.cells.ports import LogBehindError
from quetzallock_daemon.transport import Channel, Reply
from quetzallock_daemon.transport.channel import ChannelRecord
from quetzallock_platform.store import CONFIG_TOPIC, PlatformStore

from .test_evacuations import StandinClient, StandinStore, make_store, read


class RecordedClient(StandinClient):
    """Answers all calls on one connection."""

    def __init__(self, store: StandinStore) -> None:
        super().__init__(store)
        self.record = ChannelRecord(3, 0.0)

    async def call(self, address: str, request: bytes, timeout_ms: int, **limits: Any) -> Reply:
        self.record.start_call(1.0, is_reused=True)
        reply = await super().call(address, request, timeout_ms)
        return reply._replace(channel=self.record)


def test_read_tells_the_channel_that_carried_it() -> None:
    client: Any = RecordedClient(StandinStore())
    store = PlatformStore(client, "store:1", 12)
    assert read(store).channel == Channel(3, True, 0, 1_000, 1_000)
    assert read(store, 0).channel == Channel(3, True, 1, 1_000, 1_000)


def test_read_whose_end_lies_before_the_offset_is_an_error() -> None:
    """Guards against a stale read that looks like one without changes."""
    standin, store = make_store()
    standin.put(CONFIG_TOPIC, "config", b'{"version": 3, "routes": []}')
    with pytest.raises(LogBehindError, match="it ends at 1, before offset 5"):
        read(store, 5)
    assert read(store, 1).is_complete


@pytest.mark.parametrize(
    ("data", "version"),
    [
        (json.dumps({"version": 4, "routes": [{}]}).encode(), 4),
        (b'{"version": "4", "routes": []}', None),
        (b"[4]", None),
        (b"{", None),
    ],
)
def test_invalid_version_is_named_in_the_log(
    data: bytes, version: int | None, caplog: pytest.LogCaptureFixture
) -> None:
    standin, store = make_store()
    standin.put(CONFIG_TOPIC, "config", data)
    for page in (read(store), read(store, 0)):
        assert page.has_invalid_configuration
        assert page.configuration is None
    lines = [vars(record) for record in caplog.records]
    assert [line["version"] for line in lines] == [version, version]
    assert {line["message"] for line in lines} == {"invalid configuration ignored"}
