#!/usr/bin/env bash
# Exits with 1 if accepted jobs were lost sight of, 0 if none was, 2 if the case could not run.
# TROUBLE=0: the same with a job of 5 steps instead of 2,500.
cd "$(dirname "$0")"
exec python3 case.py
