#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/radishramp && test -x target/review-standin-2 || exit 2
exec target/review-standin-2 join review/7/record.txt
