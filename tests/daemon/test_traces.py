"""Trace spans: one for each hop, as part of the caller's trace."""

import logging

import pytest

from quetzallock_core.jobs.models import SubmitJob
from quetzallock_daemon.settings.models import TelemetrySettings
from quetzallock_daemon.telemetry.traces import make_tracing
from tests.common import FakeCluster, make_spec

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
TRACE_ID = PARENT.split("-")[1]


def test_without_exporter_the_context_passes_unchanged() -> None:
    span = make_tracing(TelemetrySettings(), "host-1").start("request", PARENT)
    assert span.traceparent == PARENT


def test_hops_are_spans_of_one_trace(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    tracing = make_tracing(TelemetrySettings(traces="log", sampled_percent=100), "host-1")
    request = tracing.start("request", PARENT)
    backend = tracing.start("backend", request.traceparent)
    backend.end(worker="w-1")
    request.end(outcome="whole")
    lines = [record.getMessage() for record in caplog.records]
    assert len(lines) == 2
    assert all(f"trace={TRACE_ID}" in line for line in lines)
    request_span = request.traceparent.split("-")[2]
    assert f"parent={request_span}" in lines[0]
    assert "worker=w-1" in lines[0]
    assert "outcome=whole" in lines[1]


def test_unsampled_parent_stays_unsampled(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    tracing = make_tracing(TelemetrySettings(traces="log", sampled_percent=100), "host-1")
    span = tracing.start("request", PARENT[:-2] + "00")
    span.end(outcome="whole")
    assert span.traceparent.endswith("-00")
    assert not caplog.records


def test_submission_carries_its_trace_to_the_owner_of_the_shard() -> None:
    cluster = FakeCluster()
    cluster.run(6_000)
    received: list[str] = []
    for fake in cluster.hosts.values():
        fake.host.core.listen(
            SubmitJob, lambda submission, _source: received.append(submission.trace)
        )
    cluster.hosts["host-0"].host.jobs.submit(1, make_spec("job-1"), 3_000, PARENT)
    cluster.run(1_000)
    assert received == [PARENT]
