#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Run it after deploy/build; it needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/standin/target
mkdir -p review/standin/target
./jdk javac -nowarn -d review/standin/target -cp target/entry/entry-0.1.0.jar review/standin/*.java
