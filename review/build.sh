#!/bin/sh
# Builds the stand-ins and the cases. Needs the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
exec javac -d build src/*.java
