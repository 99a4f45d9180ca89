#!/bin/bash
# Checks what the scripts need. Their stand-ins are Python files that use only
# the standard library, so there is nothing to build.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 1
python3 -c 'import ast, sys; [ast.parse(open(each).read()) for each in sys.argv[1:]]' standins.py ./*/case.py
