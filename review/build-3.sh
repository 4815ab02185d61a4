#!/bin/sh
# Builds the stand-ins and the driver of the third review's scripts, without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/stand_in_3/main.rs
