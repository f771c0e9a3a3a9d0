#!/usr/bin/env bash
# Builds the stand-ins of the cases: review/rig.py needs only the standard library.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, sys; [ast.parse(open(f).read(), f) for f in sys.argv[1:]]' rig.py */case.py
