"""Tests of presets."""
