#!/usr/bin/env bash
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the freeze and the configurations.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/gateway.jar ] || { echo "target/gateway.jar is missing: build first"; exit 2; }
[ -f target/review/TenantDropped.class ] || bash review/build.sh || exit 2
TROUBLE=${TROUBLE:-1} exec timeout -k 5 115 java -cp target/review TenantDropped "$here/record.txt"
