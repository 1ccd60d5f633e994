#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-2.sh" "$(dirname "$0")" wire sim
