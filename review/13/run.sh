#!/bin/sh
# Case 13. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/flamingodoor-entry ] && [ -x target/standin3 ] || exit 2
exec target/standin3 confirm review/13
