#!/bin/sh
# Builds the stand-ins of cases 7 to 10. They are plain Python without packages,
# so that compiling them is all there is to do.
set -eu
cd "$(dirname "$0")"
for folder in harness2 7 8 9 10; do
    python3 -m compileall -q "$folder"
done
