#!/bin/sh
# Builds the stand-ins and clients of all cases, and the control machines that case 2 starts. The node is built by the
# build line of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p target
javac -Xlint:all -Werror -d target lib/*.java
cd ..
mvn -o -q -B -DskipTests -pl core,node,fleet package || mvn -q -B -DskipTests -pl core,node,fleet package
