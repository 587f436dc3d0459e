#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, which are Python, by compiling them:
# those of the review need only the standard library, those of the project that
# case 4 uses what the build of the deploy file has installed.
cd "$(dirname "$0")/.." || exit 2
python3 -m py_compile review/parts2.py review/loopback.py review/4/case.py \
  review/5/case.py review/6/case.py review/7/case.py review/8/case.py || exit 1
python3 -m compileall -q standins benchmarks tests/integration || exit 1
PYTHONPATH=target/deps:src:. exec python3 -c \
  "from tests.integration import gateways, users_standins"
