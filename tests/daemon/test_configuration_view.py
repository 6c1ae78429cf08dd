"""What logs and metrics tell about the configuration that a host applies."""

from collections import Counter
from typing import Any

import pytest
from twisted.internet.task import Clock

from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.configuration_follower import ConfigurationFollower
from quetzallock_daemon.cells.configuration_view import ConfigurationView
from quetzallock_daemon.cells.ports import (
    ConfigPage,
    Configuration,
    LogBehindError,
    RequestLimits,
    StoreUnavailableError,
)
from quetzallock_daemon.cells.read_limits import ReadLimits
from quetzallock_daemon.helpers import sleep
from quetzallock_daemon.telemetry.metrics_page import MetricsPage
from quetzallock_daemon.transport import Channel

WAIT_MS = 1_000
CHANNEL = Channel(7, True, 3, 900, 5)


class MillisecondClock(Clock):
    """A clock that counts in whole ms, so that times can be compared without rounding."""

    def callLater(self, delay: float, *args: Any, **fields: Any) -> Any:  # noqa: N802
        """Call a function after `delay` seconds."""
        return super().callLater(round(delay * 1_000), *args, **fields)


class TimedStore:
    """Answers each read with the next page or error, after the time that is given with it."""

    def __init__(self, reactor: Clock, answers: list[tuple[int, ConfigPage | Exception]]) -> None:
        self._reactor = reactor
        self._answers = answers

    async def read_configuration(self, timeout_ms: int) -> ConfigPage:
        return await self.read_configuration_changes(0, 0, timeout_ms)

    async def read_configuration_changes(
        self, _offset: int, _wait_ms: int, _timeout_ms: int
    ) -> ConfigPage:
        after_ms, answer = self._answers.pop(0) if self._answers else (1_000_000, make_page(0))
        await sleep(self._reactor, after_ms)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Followed:
    """A follower of a store that gives these answers.

    Attributes:
        counters: Its counters.
        views: Its view at each ms.
    """

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, *answers: tuple[int, ConfigPage | Exception]
    ) -> None:
        reactor = MillisecondClock()
        monkeypatch.setattr(BootClock, "now", lambda _: int(reactor.seconds()))
        store: Any = TimedStore(reactor, list(answers))
        self.counters: Counter[str] = Counter()
        follower = ConfigurationFollower(
            reactor, store, lambda _: None, limits=ReadLimits(WAIT_MS, 600), counters=self.counters
        )
        follower.start()
        self.views: list[ConfigurationView] = []
        for _ in range(10_000):
            reactor.advance(1)
            self.views.append(follower.view)


def make_page(offset: int, version: int | None = None, **fields: Any) -> ConfigPage:
    """Return a page, with a version of the configuration if one is given."""
    configuration = None if version is None else Configuration(version, (), RequestLimits())
    return ConfigPage(configuration, offset, channel=CHANNEL, **fields)


def get_lines(caplog: pytest.LogCaptureFixture, event: str) -> list[dict[str, Any]]:
    """Return the fields of the log lines of an event."""
    return [vars(record) for record in caplog.records if record.getMessage() == event]


def test_read_that_stayed_open_confirms_the_view_as_of_the_end_of_its_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    followed = Followed(monkeypatch, (10, make_page(1, 1)), (WAIT_MS + 20, make_page(1)))
    assert followed.views[500] == ConfigurationView(1, 10, 0, CHANNEL)
    assert followed.views[-1].confirmed_at == 15 + WAIT_MS
    assert followed.views[-1].compute_age_ms(2_000) == 2_000 - 15 - WAIT_MS


def test_read_with_records_confirms_the_view_as_of_its_sending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a view that seems newer than it is: the records may have come early."""
    followed = Followed(monkeypatch, (10, make_page(1, 1)), (WAIT_MS + 20, make_page(2, 2)))
    assert followed.views[-1] == ConfigurationView(2, 35 + WAIT_MS, 15, CHANNEL)


@pytest.mark.parametrize(
    "second", [make_page(1, is_complete=False), StoreUnavailableError("timed out")]
)
def test_incomplete_and_failed_reads_do_not_renew_the_view(
    monkeypatch: pytest.MonkeyPatch, second: ConfigPage | Exception
) -> None:
    followed = Followed(monkeypatch, (10, make_page(1, 1)), (WAIT_MS + 20, second))
    assert followed.views[-1].confirmed_at == 0


def test_line_of_a_version_tells_the_read_the_channel_and_the_age_of_the_view(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    followed = Followed(monkeypatch, (10, make_page(1, 1)), (40, make_page(2, 2)))
    first, second = get_lines(caplog, "configuration is in force")
    assert (first["version"], first["before"], first["view_age_ms"]) == (1, None, None)
    expected = {"version": 2, "before": 1, "offset": 2, "read_ms": 40, "view_age_ms": 55}
    assert {name: second[name] for name in expected} == expected
    assert second["channel"]["number"] == CHANNEL.number
    assert followed.counters["config.applied"] == 2


def test_late_reads_are_logged_once_until_one_is_in_time(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    late = (WAIT_MS + 400, make_page(1))
    Followed(monkeypatch, (10, make_page(1, 1)), late, late, (WAIT_MS, make_page(1)), late)
    lines = get_lines(caplog, "configuration is read late")
    assert [line["read_ms"] for line in lines] == [WAIT_MS + 400, WAIT_MS + 400]


def test_each_read_that_times_out_is_logged_with_its_channel(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Each one may have hung on another silent connection of the pool."""
    Followed(
        monkeypatch,
        (10, make_page(1, 1)),
        (3_000, StoreUnavailableError("channel 4")),
        (2_000, StoreUnavailableError("channel 3")),
        (1, StoreUnavailableError("refused")),
    )
    lines = get_lines(caplog, "reading from the store fails")
    assert [(line["error"], line["took_ms"]) for line in lines] == [
        ("channel 4", 3_000),
        ("channel 3", 2_000),
    ]


def test_reads_behind_and_invalid_versions_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    followed = Followed(
        monkeypatch,
        (10, make_page(1, 1)),
        (1, LogBehindError("behind")),
        (1, make_page(2, has_invalid_configuration=True)),
    )
    assert followed.counters["config.behind"] == 1
    assert followed.counters["config.rejected"] == 1


def test_gauges_are_computed_when_the_page_is_rendered() -> None:
    """Guards against an age that stands still while no read succeeds."""
    page = MetricsPage(Counter())
    view = ConfigurationView()
    now = 0
    page.show_configuration(lambda: view, lambda: now)
    assert b"\nquetzallock_configuration_version " not in page.render()[1]
    view = ConfigurationView(8, 500, 1_000)
    for at, since, age in ((1_500, b"1.0", b"0.5"), (4_000, b"3.5", b"3.0")):
        now = at
        text = page.render()[1]
        assert b"\nquetzallock_configuration_version 8.0\n" in text
        assert b"\nquetzallock_configuration_since_seconds %s\n" % since in text
        assert b"\nquetzallock_configuration_view_age_seconds %s\n" % age in text
