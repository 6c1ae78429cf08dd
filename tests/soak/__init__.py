"""Seeded faults on real processes; promises are checked by what callers and workers recorded."""
