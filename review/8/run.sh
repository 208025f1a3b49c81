#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/yardusher.jar ] && [ -f target/review-2/UpgradeHeld.class ] || { echo "build first, then review/build-2.sh" >&2; exit 2; }
exec java -Xmx256m -cp target/review-2 UpgradeHeld review/8/record.txt
