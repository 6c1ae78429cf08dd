"""Scheduling logic of quetzallock, without I/O: takes messages and the time, returns effects."""
