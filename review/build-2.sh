#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start, after the build of the deploy file: the stand-ins are Python
# sources of this repository and need target/deps only, so they are compiled and imported once.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-bytecode
PYTHONPYCACHEPREFIX=target/review-bytecode PYTHONPATH=.:src:target/deps python3 -S -m compileall -q tests/simulation tests/loopback review/common2 review/[4-8]
PYTHONPYCACHEPREFIX=target/review-bytecode PYTHONPATH=.:src:target/deps python3 -S -c 'import review.common2.cluster, review.common2.runner'
