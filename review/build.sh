#!/bin/bash
# Builds the stand-ins of the cases: small Java programs without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac -encoding UTF-8 --release 17 -d build src/*.java
