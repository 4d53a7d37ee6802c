#!/usr/bin/env bash
# Builds the stand-ins of the review's cases 6 to 10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
./jdk javac -Xlint:-options -d target/review-2 -cp 'target/entry/lib/*' review/standin-2/*.java
