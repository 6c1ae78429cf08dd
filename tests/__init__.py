"""Tests of quetzallock."""
