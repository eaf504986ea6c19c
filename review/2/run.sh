#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" CrowdCase 2
