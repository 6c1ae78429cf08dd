"""Tests of the job shards."""
