"""Tests of one domain."""
