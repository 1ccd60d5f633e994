#!/usr/bin/env bash
# Runs one case: run-case.sh CASE FOLDER. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN
work=$(mktemp -d)
finish() {
    # The stand-in ends its processes itself; these are left only if it was ended.
    while read -r pid; do
        [ -d "/proc/$pid" ] && tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q shelfgrade && kill -KILL "$pid"
    done < <(cat "$work/pids" 2>/dev/null)
    rm -rf "$work"
}
trap finish EXIT
if [ -z "$RUN" ] || [ ! -x target/release/shelfgrade ] || [ ! -x target/review/standin ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
timeout -k 2 117 target/review/standin "$1" "$work" "$folder/record.txt"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$work" "$KEEP_LOGS"; fi
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
