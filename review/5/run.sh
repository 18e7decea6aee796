#!/usr/bin/env bash
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
dir=$(cd "$(dirname "$0")" && pwd)
repo=$(cd "$dir/../.." && pwd)
export TROUBLE="${TROUBLE:-1}"
for program in target/review/standin target/release/walnuthavend; do
    if [ ! -x "$repo/$program" ]; then
        echo "could not run: $program isn't built" >&2
        exit 2
    fi
done
exec "$repo/target/review/standin" case leave --dir "$dir" --repo "$repo"
