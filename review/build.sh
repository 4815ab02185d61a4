#!/bin/sh
# Builds the stand-ins that the scripts start: one program without dependencies.
# Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand-in review/stand_in/main.rs
