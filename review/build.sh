#!/bin/sh
# Builds the stand-ins: they need the standard library of Python 3.11 only, so this compiles them.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins scripts
