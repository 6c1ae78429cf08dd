#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the outage.
cd "$(dirname "$0")/.." && exec python3 -m scripts.many_ends 1/record.txt
