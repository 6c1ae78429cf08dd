"""Telemetry: statsd counters and trace spans."""
