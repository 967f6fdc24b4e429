#!/bin/sh
# Builds what the scripts of the cases start beside the program of the deploy file. The
# stand-ins are plain Python without dependencies, so they are only compiled.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q support [1-9]/case.py
