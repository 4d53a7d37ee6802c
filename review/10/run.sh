#!/usr/bin/env bash
# AVAIL: the planner stands still while it cancels scheduled jobs, and all leases lapse.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-2/Cancel.class ] || [ ! -x target/image/bin/java ]; then
  echo "run deploy/build and review/build-2.sh first" >&2
  exit 2
fi
exec ./jdk java -Xmx256m -Djdk.httpclient.allowRestrictedHeaders=host -Dcase=review/10 \
  -cp 'target/review-2:target/entry/lib/*' Cancel
