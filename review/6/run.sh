#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -f target/spoolline.jar ] || [ ! -d target/review-2 ]; then
    echo "build first: the command of deploy/service.toml, then review/build-2.sh"
    exit 2
fi
exec java -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=2000 \
    -cp target/review-2 site.Cases avoided "$here"
