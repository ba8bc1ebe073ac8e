#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
RECORD=review/2/record.txt timeout -k 3 110 target/review/reused_address
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
