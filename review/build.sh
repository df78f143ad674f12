#!/bin/bash
# The stand-ins are Python and need no build. This checks that they and the cases can be imported after the build of
# the deploy file, which has to be run before. All that it makes goes under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX="$PWD/target/review-bytecode" PYTHONPATH="$PWD:$PWD/src:$PWD/target/deps"
python3 -S -c 'import review.common.case, review.common.deployment'
for scenario in review/[0-9]*/scenario.py; do
    python3 -S -m py_compile "$scenario"
done
