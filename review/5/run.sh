#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves all planned work out, TROUBLE=restarts the evacuation alone.
# It writes record.txt beside itself.
cd "$(dirname "$0")/../.." && exec python3 -B review/5/case.py
