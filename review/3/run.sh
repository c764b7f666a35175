#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
python3 "$(dirname "$0")/case.py" &
case_id=$!
trap 'kill "$case_id"; wait "$case_id"; exit 2' TERM INT
wait "$case_id"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
