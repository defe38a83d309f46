#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/SilentServer.class ] && [ -f target/magnoliahub-0.1.0-SNAPSHOT.jar ] || exit 2
timeout 110 java -cp target/review SilentServer review/2 "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
