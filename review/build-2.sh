#!/bin/sh
# Prepare the stand-ins that the cases 6 to 10 start, after the build of the
# deploy file. They are Python files and need no other packages than that build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 - <<'EOF'
import sys

sys.path[:0] = ['review', '.']
import harness_2
import tests.soak.store

print('stand-ins:', harness_2.__name__, tests.soak.store.__name__)
EOF
