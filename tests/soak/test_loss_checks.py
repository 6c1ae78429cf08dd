"""Tests of the check of lost requests: each allowed case beside one that breaks the rule."""

import socket
from pathlib import Path
from typing import Any

import pytest

from quetzallock_standins.const import LOOPBACK

from .fault_log import CONTACT_MS, Span
from .loss_checks import (
    AFTER_GRACE_MS,
    GRACE_MS,
    LOSS_SLACK_MS,
    RELOAD_MS,
    ROUTE_TIMEOUT_MS,
    SentRequest,
    SentSignals,
    list_loss_findings,
    list_read_channels,
)

TERM_AT = 50_000.0
SENT_AT = TERM_AT + 4_000
LOST: dict[str, Any] = {
    "sent_at": SENT_AT,
    "deadline_ms": 5_000,
    "seen_open_at": SENT_AT + LOSS_SLACK_MS + 1,
    "ended_at": SENT_AT + 1_000,
}


def find(
    terms: tuple[float, ...] = (TERM_AT,),
    reloads: tuple[float, ...] = (),
    spans: tuple[Span, ...] = (),
    **fields: Any,
) -> list[str]:
    request = SentRequest("host0", "POST", "/jobs/1", **(LOST | fields))
    signals = {"host0": SentSignals(terms, reloads)}
    return list(list_loss_findings([request], signals, spans))


def test_request_that_was_read_and_given_up_is_found() -> None:
    assert len(find()) == 1
    assert "sent 4000 ms after SIGTERM" in find()[0]


def test_answered_request_is_not_found() -> None:
    assert find(status=503) == []


def test_channel_that_may_have_ended_in_time_or_unread_is_not_found() -> None:
    assert find(seen_open_at=SENT_AT + LOSS_SLACK_MS) == []
    assert find(seen_open_at=0.0) == []


@pytest.mark.parametrize(("deadline_ms", "limit_ms"), [(1_500, 1_500), (9_000, ROUTE_TIMEOUT_MS)])
def test_deadline_and_time_out_of_the_route_excuse(deadline_ms: int, limit_ms: int) -> None:
    assert find(deadline_ms=deadline_ms, ended_at=SENT_AT + limit_ms) == []
    assert len(find(deadline_ms=deadline_ms, ended_at=SENT_AT + limit_ms - 1)) == 1


def test_losses_count_from_the_signal_until_after_the_grace() -> None:
    ended_at = SENT_AT + 1_000
    assert len(find(terms=(ended_at,))) == 1
    assert find(terms=(ended_at + 1,)) == []
    assert len(find(terms=(ended_at - GRACE_MS - AFTER_GRACE_MS,))) == 1
    assert find(terms=(ended_at - GRACE_MS - AFTER_GRACE_MS - 1,)) == []


def test_losses_count_around_a_reload() -> None:
    assert len(find(terms=(), reloads=(SENT_AT - RELOAD_MS,))) == 1
    assert find(terms=(), reloads=(SENT_AT - RELOAD_MS - 1,)) == []
    assert find(terms=(), reloads=(SENT_AT + 1_001,)) == []


def test_unplanned_disturbance_excuses_until_contact_has_lasted() -> None:
    assert find(spans=((0, SENT_AT - CONTACT_MS + 1),)) == []
    assert len(find(spans=((0, SENT_AT - CONTACT_MS),))) == 1
    assert find(spans=((SENT_AT + 1_000, float("inf")),)) == []
    assert len(find(spans=((SENT_AT + 1_001, float("inf")),))) == 1


def test_kernel_tells_whether_a_request_was_read() -> None:
    with socket.create_server((LOOPBACK, 0)) as server:
        caller = socket.create_connection(server.getsockname())
        host, _address = server.accept()
        ports = (host.getsockname()[1], caller.getsockname()[1])
        caller.sendall(b"request")
        assert ports not in list_read_channels(Path("/proc/net/tcp").read_text())
        host.recv(100)
        read_channels = list_read_channels(Path("/proc/net/tcp").read_text())
        assert {ports, ports[::-1]} <= read_channels
        host.close()
        assert ports not in list_read_channels(Path("/proc/net/tcp").read_text())
        caller.close()
