#!/usr/bin/env bash
# Usage: review/8/run.sh; TROUBLE=0 runs it without the disruption. Needs review/build-2.sh.
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
exec java -Xmx256m -cp review/target/cases-2 ExtraAnswer review/8/record.txt
