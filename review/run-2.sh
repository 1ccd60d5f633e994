#!/bin/sh
# Runs one case: `run-2.sh FOLDER CASE KEY`, with the command that KEY names in the deploy file. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
command=$(sed -n "s/^$3 = \"\(.*\)\"\$/\1/p" deploy/balancer.toml)
if [ -z "$command" ] || [ ! -x target/review-2/standins ]; then
    echo "build first: the command of the deploy file, then review/build-2.sh"
    exit 2
fi
CASE_DIR=$(mktemp -d) || exit 2
CASE_ROOT=$PWD CASE_COMMAND=$command CASE_RECORD=$folder/record.txt
export CASE_DIR CASE_ROOT CASE_COMMAND CASE_RECORD

# Ends what is left of the processes that the case started, which is nothing unless it was interrupted.
end() {
    [ -z "$main" ] || kill -9 "$main" 2>/dev/null
    for id in $(cat "$CASE_DIR/pids" 2>/dev/null); do
        if [ -r "/proc/$id/environ" ] && tr '\0' '\n' <"/proc/$id/environ" | grep -qx "CASE_DIR=$CASE_DIR"; then
            kill -9 "$id" 2>/dev/null
        fi
    done
    rm -rf "$CASE_DIR"
}
main=
trap end EXIT
trap 'exit 2' INT TERM HUP
target/review-2/standins "$2" &
main=$!
wait "$main"
code=$?
main=
exit "$code"
