#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/stand-in ] || [ ! -x target/release/persimmonward ]; then
    echo "build first: the build of the deploy file, then review/build.sh" >&2
    exit 2
fi
exec target/review/stand-in all_dark review/5
