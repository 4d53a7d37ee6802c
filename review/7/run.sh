#!/usr/bin/env bash
# LOST: a client's scheduled jobs, handed in in a row, end all planning.
# TROUBLE=0 leaves the disruption out; Rig.trouble reads the variable.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-2/Scheduled.class ] || [ ! -x target/image/bin/java ]; then
  echo "run deploy/build and review/build-2.sh first" >&2
  exit 2
fi
exec ./jdk java -Xmx256m -Djdk.httpclient.allowRestrictedHeaders=host -Dcase=review/7 \
  -cp 'target/review-2:target/entry/lib/*' Scheduled
