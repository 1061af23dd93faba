#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
CASE="$(cd "$(dirname "$0")" && pwd)"
export CASE
. "$CASE/../run-case.sh"
