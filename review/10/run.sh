#!/bin/sh
# Runs this case; TROUBLE=0 leaves the disruption out. Run the build of deploy/balancer.toml and review/build-2.sh first.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. What was sent, answered and run is
# written to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
java -Xmx256m -cp "$here/../src-2/build" RefusedCase "$here/../.." "$here" "${TROUBLE:-1}"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
