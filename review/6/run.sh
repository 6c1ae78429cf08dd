#!/usr/bin/env bash
# Exits with 1 if a task ran twice at the same time, 0 if none did, 2 if the case could not run.
# TROUBLE=0: nothing is disturbed. CUT=0: the workers crash, and are not cut off.
cd "$(dirname "$0")"
exec python3 case.py
