#!/usr/bin/env bash
# Builds the stand-ins of the second review (cases 6 to 10) into target/review-2. Needs the JDK only, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/src-2/*.java
