#!/bin/sh
# Builds the stand-ins of all cases. They are plain Python without packages, so
# that compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q .
