#!/bin/sh
# Runs a case: run-case.sh CLASS FOLDER. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
timeout -k 3 110 java -Xmx256m -cp review/build "$1" "review/$2"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
