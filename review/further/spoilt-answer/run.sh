#!/bin/sh
exec "$(dirname "$0")/../../run-case.sh" SpoiltAnswerCase further/spoilt-answer
