"""Tests of quetzallock_core.requests."""
