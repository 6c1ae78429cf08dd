#!/usr/bin/env bash
# Exits with 1 if a task ran twice at the same time, 0 if none did, 2 if the case could not run.
# TROUBLE=0: nothing is disturbed. LATE=0: the same disruptions but for the late polls.
cd "$(dirname "$0")"
exec python3 case.py
