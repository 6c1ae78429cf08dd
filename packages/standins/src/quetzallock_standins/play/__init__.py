"""Plays recorded traces of callers and jobs against real daemons and judges what came of it."""
