#!/bin/sh
# No case. Exit 1: no job was accepted any more; 0: one was; 2: it could not run. TROUBLE=0: no entry.
cd "$(dirname "$0")/.." && exec python3 -m scripts.four_hosts tried/record.txt
