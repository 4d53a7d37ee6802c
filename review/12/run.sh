#!/usr/bin/env bash
# Plays Copy: exits with 1 if the rule is broken, 0 if it holds, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-3/Copy.class ] || [ ! -x target/image/bin/java ]; then
  echo "run deploy/build and review/build-3.sh first" >&2
  exit 2
fi
exec ./jdk java -Xmx256m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=1000 \
  -Djdk.httpclient.allowRestrictedHeaders=host -Dcase=review/12 -cp 'target/review-3:target/entry/lib/*' Copy
