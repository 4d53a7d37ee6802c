#!/usr/bin/env bash
# Builds the stand-ins of the cases of review/REPORT-3.md into target/review-3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
shopt -s nullglob
./jdk javac -Xlint:-options -d target/review-3 -cp 'target/entry/lib/*' review/rig-3/*.java review/1[1-5]/*.java
