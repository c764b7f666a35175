#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
timeout -k 5 112 python3 case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
