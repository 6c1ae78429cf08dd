"""Runs cells on an entry host: ownership, journal, workers, callers and peers."""
