"""Tests of quetzallock_core.placement."""
