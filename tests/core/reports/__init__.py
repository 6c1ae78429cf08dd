"""Tests of reports."""
