#!/usr/bin/env bash
# MIXED: jobs whose worker crashed before it began them are not counted as queued.
# TROUBLE=0 leaves the disruption out; Rig.trouble reads the variable.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-2/Queued.class ] || [ ! -x target/image/bin/java ]; then
  echo "run deploy/build and review/build-2.sh first" >&2
  exit 2
fi
exec ./jdk java -Xmx256m -Djdk.httpclient.allowRestrictedHeaders=host -Dcase=review/10 \
  -cp 'target/review-2:target/entry/lib/*' Queued
