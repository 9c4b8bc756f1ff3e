#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6 into target/review-2. Needs the JDK only; run it after the build of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/site/*.java

# The stand-ins of the cases 7 and 8 into target/review-3, likewise.
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 review/standins-3/*.java
