"""Plays recorded traces of calls and jobs against real daemons and checks the promises."""
