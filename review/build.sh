#!/bin/sh
# Builds the stand-ins of the cases, which need nothing but Python.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins 1/case.py 2/case.py 3/case.py
