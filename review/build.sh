#!/bin/sh
# Builds the stand-ins of the scripts. They are Python programs of the standard library (review/lib): nothing is
# compiled. The program under test is built by the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in lib/standin.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
