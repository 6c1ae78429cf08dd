"""Command line for operators and for callers who submit jobs."""
