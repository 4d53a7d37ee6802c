#!/usr/bin/env bash
# TWICE: a worker that is cut off for 9 s starts again there and carries out the next run of a work item that lasts late.
# usage: plays/next-start-behind-cut/run.sh [OPTION...]; each is a system property of RebornNext:
#   -Dfirst.crashes=true    run 1 ends with the crash of its worker, not by a failure
#   -Dsecond.lost=true      the second worker is lost for good: run 3 must come
# TROUBLE=0 leaves the disruption out; Rig.trouble reads the variable.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-2/Rig.class ] || [ ! -x target/image/bin/java ]; then
  echo "run deploy/build and review/build-2.sh first" >&2
  exit 2
fi
mkdir -p target/plays
./jdk javac -Xlint:-options -d target/plays -cp 'target/review-2:target/entry/lib/*' plays/next-start-behind-cut/RebornNext.java || exit 2
exec ./jdk java -Xmx256m -Djdk.httpclient.allowRestrictedHeaders=host -Dcase=plays/next-start-behind-cut "$@" \
  -cp 'target/plays:target/review-2:target/entry/lib/*' RebornNext
