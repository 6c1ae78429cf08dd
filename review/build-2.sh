#!/bin/sh
# Checks the stand-ins that the scripts of the cases start. Those of review/lab-2 need Python 3.11 and nothing
# else; that of review/lab-3 also needs what the build of the deploy file has put under target/deps.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in lab-2/*.py lab-3/*.py [6-9]/case.py tried-2/*.py tried-2/*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
PYTHONPATH=../target/deps:../packages/standins/src PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'import sys; sys.path.insert(0, "lab-3"); import standin'
