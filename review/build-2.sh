#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, with the JDK alone. The node is built by the build line
# of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/lib-2"
mkdir -p target
javac -encoding UTF-8 -Xlint:all -Werror -d target ./*.java
