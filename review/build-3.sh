#!/usr/bin/env bash
# Compiles the stand-ins and the scripts of cases 11 to 15 into target/review-3; needs a JDK and no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
find review/standins-3 review/11 review/12 review/13 review/14 review/15 -name '*.java' 2> /dev/null > target/review-3/sources || true
javac -encoding UTF-8 -d target/review-3 @target/review-3/sources
