#!/bin/sh
# Builds the stand-ins and clients of all cases. The node is built by the build line of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p target
exec javac -Xlint:all -Werror -d target lib/*.java
