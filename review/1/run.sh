#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/spoolline.jar ] || { echo "the case could not run: build the project first"; exit 2; }
[ -f target/review/review/Wide.class ] || bash review/build.sh || exit 2
exec java -Xmx512m -cp target/review:target/spoolline.jar review.Wide "$here"
