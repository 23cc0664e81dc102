#!/bin/sh
# A node is replaced while clients hold a third of its descriptors and use all their connections.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f review/lib-2/target/Lab.class ] || [ ! -f node/target/brackenbridge.jar ]; then
  echo "not built: run the build line of deploy/balancer.toml and review/build-2.sh" >&2
  exit 2
fi
exec java -Xmx512m -Droot="$PWD" -cp review/lib-2/target FullUpgrade review/8
