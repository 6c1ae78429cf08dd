"""Telemetry: log lines, counters, latency histograms and trace spans."""
