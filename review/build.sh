#!/bin/bash
# Checks what the scripts need. Their stand-ins are Python files that use only
# the standard library, so there is nothing to build; the bytecode of the
# program is written now, so that its first start takes no longer than others.
cd "$(dirname "$0")/.." || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 1
python3 -m compileall -q cassiarail review
