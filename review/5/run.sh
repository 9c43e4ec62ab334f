#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
if [ ! -f review/target/review/cases/PlannedStop.class ] || [ ! -f platform/target/bamboorelay-platform.jar ]; then
	echo "build first: bin/build-platform and review/build.sh" >&2
	exit 2
fi
java -cp 'review/target:platform/target/lib/*' review.cases.PlannedStop review/5
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
