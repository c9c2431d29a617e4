#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rv ] && [ -x target/release/godwitloom-platform ] || exit 2
exec target/review/rv idle review/5/record.txt
