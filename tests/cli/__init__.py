"""Tests of one package."""
