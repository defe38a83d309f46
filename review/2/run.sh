#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Writes record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
record=review/2/record.txt
echo "started with TROUBLE=${TROUBLE:-1}" > "$record" || exit 2
if [ ! -f target/review/SilentServer.class ] || [ ! -f target/magnoliahub-0.1.0-SNAPSHOT.jar ]; then
	echo "cannot run: build with deploy/build.sh and review/build.sh first" >> "$record"
	exit 2
fi
timeout 110 java -Xmx1g -cp target/review SilentServer "$record" "${TROUBLE:-1}"
code=$?
echo "exit code of the program: $code" >> "$record"
[ "$code" -le 1 ] && exit "$code"
exit 2
