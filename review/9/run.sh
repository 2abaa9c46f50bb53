#!/bin/bash
# Plays the case that claim.txt describes. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run is in record.txt.
set -u
cd "$(dirname "$0")/../.." || exit 2
test -x bin/brookmux && test -x bin/review-peers || exit 2
timeout --kill-after=2 116 bin/review-peers trial-reverted review/9/record.txt
code=$?
if [ "$code" -gt 1 ]; then
	exit 2
fi
exit "$code"
