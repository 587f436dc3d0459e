#!/bin/sh
# Builds the stand-ins of the cases, which need nothing but Python.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q http1.py site_processes.py store.py targets.py 1/case.py 2/case.py 3/case.py
