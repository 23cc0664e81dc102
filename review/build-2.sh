#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the build of the deploy file: the stand-ins, with the JDK
# alone, and the project's module 'fleet'. Maven is run offline first, so that no network is needed where its repository has
# what 'make build' needs.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/lib-2/target
javac -encoding UTF-8 -d review/lib-2/target review/lib-2/*.java
mvn -o -q -B -DskipTests -pl core,node,fleet package || mvn -q -B -DskipTests -pl core,node,fleet package
