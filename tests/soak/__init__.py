"""A seeded soak: real processes, faults from outside, promises checked from what callers see."""
