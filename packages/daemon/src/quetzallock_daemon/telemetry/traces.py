"""Trace spans, one for each hop, with W3C trace context.

The OpenTelemetry SDK is loaded only if spans are exported; otherwise the trace context of the
caller is passed on unchanged.
"""

import logging
from collections.abc import Mapping
from typing import Any

from quetzallock_core.exceptions import Finding, InvalidInputError

from ..settings.models import TelemetrySettings

_LOGGER = logging.getLogger(__name__)
TRACEPARENT = "traceparent"


class Span:
    """One hop of a trace; has no effect if tracing is off.

    Attributes:
        traceparent: Trace context to pass on, or empty if there is none.
    """

    def __init__(self, traceparent: str = "", span: Any = None) -> None:
        self.traceparent = traceparent
        self._span = span

    def end(self, **attributes: str | int) -> None:
        """End the span with `attributes`."""
        if self._span is None:
            return
        for name, value in attributes.items():
            self._span.set_attribute(f"quetzallock.{name}", value)
        self._span.end()


class Tracing:
    """Passes on trace contexts without recording spans."""

    def start(self, name: str, parent: str) -> Span:
        """Start a span under the trace context `parent`."""
        return Span(parent)

    def shut_down(self) -> None:
        """Export the remaining spans."""


class SdkTracing(Tracing):
    """Records spans with the OpenTelemetry SDK."""

    def __init__(self, settings: TelemetrySettings, host: str) -> None:
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio
        from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

        sampler = ParentBasedTraceIdRatio(settings.sampled_percent / 100)
        resource = Resource({"service.name": "quetzallockd", "host.name": host})
        self._provider = TracerProvider(sampler=sampler, resource=resource)
        self._provider.add_span_processor(_make_processor(settings))
        self._tracer = self._provider.get_tracer("quetzallock")
        self._propagator = TraceContextTextMapPropagator()

    def start(self, name: str, parent: str) -> Span:
        """Start a span under the trace context `parent`."""
        from opentelemetry.trace import set_span_in_context

        context = self._propagator.extract({TRACEPARENT: parent})
        span = self._tracer.start_span(name, context)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, set_span_in_context(span))
        return Span(carrier.get(TRACEPARENT, ""), span)

    def shut_down(self) -> None:
        """Export the remaining spans."""
        self._provider.shutdown()


def _make_processor(settings: TelemetrySettings) -> Any:
    from opentelemetry.sdk.trace.export import BatchSpanProcessor, SimpleSpanProcessor

    if settings.traces == "log":
        return SimpleSpanProcessor(_make_log_exporter())
    try:
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
    except ImportError:
        reason = "needs the package opentelemetry-exporter-otlp-proto-http"
        raise InvalidInputError([Finding("telemetry.traces", reason)]) from None
    return BatchSpanProcessor(OTLPSpanExporter(endpoint=settings.traces))


def _make_log_exporter() -> Any:
    from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult

    class LogExporter(SpanExporter):
        """Writes one log line for each span."""

        def export(self, spans: Any) -> Any:
            """Write the lines."""
            for span in spans:
                _LOGGER.info("span %s", format_span(span))
            return SpanExportResult.SUCCESS

        def shutdown(self) -> None:
            """Do nothing."""

    return LogExporter()


def format_span(span: Any) -> str:
    """Return a line that describes a finished span: name, ids, duration in ms, attributes."""
    context = span.get_span_context()
    parent = f"{span.parent.span_id:016x}" if span.parent else "-"
    duration_ms = (span.end_time - span.start_time) // 1_000_000
    attributes: Mapping[str, Any] = span.attributes or {}
    pairs = " ".join(f"{name.rpartition('.')[2]}={value}" for name, value in attributes.items())
    ids = f"trace={context.trace_id:032x} span={context.span_id:016x} parent={parent}"
    return f"{span.name} {ids} ms={duration_ms} {pairs}".rstrip()


def make_tracing(settings: TelemetrySettings, host: str) -> Tracing:
    """Return the tracing that the settings select."""
    if settings.traces == "none":
        return Tracing()
    return SdkTracing(settings, host)
