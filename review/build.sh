#!/usr/bin/env bash
# Compiles the stand-ins and the cases. Uses the JDK and Jackson, which the build of the deploy file puts into
# platform/target/lib.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf review/target
mkdir -p review/target
# shellcheck disable=SC2046
javac -Xlint:all -Xlint:-serial -d review/target -cp 'platform/target/lib/*' $(find review -name '*.java')
