#!/bin/sh
# Lets endpoints answer against the protocol. TROUBLE=0: without the disruption.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. What was sent, answered and run is written
# to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
record=$here/record.txt
echo "case review/further/spoilt-answer, TROUBLE=${TROUBLE:-1}" > "$record" || exit 2
cd "$here/../../.." || exit 2
timeout -k 3 110 java -Xmx256m -cp review/build SpoiltAnswerCase "$record" 2>> "$record"
case $? in
    0) result=0 ;;
    10) result=1 ;;
    *) result=2 ;;
esac
echo "exit code $result" >> "$record"
exit $result
