#!/bin/sh
# run-case.sh CLASS FOLDER: plays a case from its folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. A case itself ends with 10 if the rule was broken, so that no failure of its own is taken for one.
case=$1
folder=$(cd "$2" && pwd)
root=$(cd "$(dirname "$0")/../.." && pwd)
if [ ! -f "$root/review/target/$case.class" ] || [ ! -f "$root/node/target/brackenbridge.jar" ]; then
  echo "not built: the build line of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
java -Xmx512m -Djava.io.tmpdir="$temporary" -cp "$root/review/target" "$case" "$root" "$folder" &
player=$!
# The player ends all nodes that it has started.
trap 'kill "$player" 2>/dev/null; wait "$player"; rm -rf "$temporary"; exit 2' INT TERM HUP
wait "$player"
status=$?
rm -rf "$temporary"
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
