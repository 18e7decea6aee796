#!/bin/sh
# Runs a case COUNT times and prints its exit codes: times.sh CASE [COUNT]
cd "$(dirname "$0")/$1" || exit 2
for _ in $(seq "${2:-5}"); do
    ./run.sh >/dev/null 2>&1
    echo "$1: exit $?"
done
