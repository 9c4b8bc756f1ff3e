#!/usr/bin/env bash
# Compiles the stand-ins of the cases into target/review. Needs the project's build (target/spoolline.jar) and a JDK, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/spoolline.jar review/standins/review/*.java
