#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run the build of deploy/balancer.toml first.
set -eu
cd "$(dirname "$0")/src-2"
rm -rf build
mkdir build
javac -encoding UTF-8 -d build ./*.java
