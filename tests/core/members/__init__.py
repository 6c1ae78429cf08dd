"""Tests of the member list."""
