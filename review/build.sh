#!/bin/bash
# The stand-ins of the cases are Python of the standard library: nothing is compiled. Checks that
# they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import asyncio, tomllib'
for file in lib/*.py [1-9]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins: ready"
