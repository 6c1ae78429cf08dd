"""Scheduling decisions of quetzallock: pure code that takes messages and the time."""
