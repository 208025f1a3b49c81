#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -e ../build/Waiting.class ] && [ -e ../../target/yardusher.jar ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec timeout -k 5 110 java -Xmx256m -cp ../build Waiting "$(cd ../.. && pwd)" record.txt
