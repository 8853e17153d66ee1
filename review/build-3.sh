#!/usr/bin/env bash
# Compiles the stand-ins of review/11 to review/15. They need nothing but Python's
# standard library, and the scripts start no stand-in of the project's own.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=../target/review-3 python3 -S -m compileall -q harness3 11 12 13 14 15
