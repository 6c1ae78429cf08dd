"""Tests of quetzallock_daemon."""
