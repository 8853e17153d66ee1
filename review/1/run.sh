#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && PYTHONPATH=.. exec python3 case.py
