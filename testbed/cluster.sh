# Functions that run a local cluster. Source this file at the root of the workspace.
# The started processes are recorded and killed by their ids when the script exits.
run=$(mktemp -d)
pids=()
entry_pids=()
cleanup() {
  for pid in ${pids[@]+"${pids[@]}"}; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}
trap cleanup EXIT
say() { printf '\n== %s\n' "$*"; }
toucanstall() { bin/toucanstall "$@"; }

build() { ./jdk mvn -B -ntp -q package -DskipTests -Dcheckstyle.skip -Dspotless.check.skip; }

# start_platform WORKERS: starts the platform and so many backend servers
start_platform() {
  bin/testbed-platform --address 127.0.0.1:7000 > "$run/platform.log" 2>&1 & pids+=("$!")
  bin/testbed-workers --count "$1" > "$run/workers.log" 2>&1 & pids+=("$!")
}

# start_entry N: starts entry instance eN, with port 80N0 for callers, 80N1 for operators and 80N2 for peers
start_entry() {
  cat > "$run/e$1.yaml" <<YAML
id: e$1
datacentre: dc$1
domain: rack$1
listen:
  callers: 127.0.0.1:80${1}0
  operators: 127.0.0.1:80${1}1
  peers: 127.0.0.1:80${1}2
peer-secret: a-secret-for-the-testbed-only
platform:
  log: http://127.0.0.1:7000
  instances: http://127.0.0.1:7000
timing: {claim-window-ms: ${claim_window_ms:-120000}}
YAML
  bin/toucanstall-entry --config "$run/e$1.yaml" >> "$run/e$1.log" 2>&1 & pids+=("$!")
  entry_pids[$1]=$!
}

# await_ready N: waits up to a minute until entry instance eN is ready
await_ready() {
  for _ in $(seq 120); do
    curl -sf "127.0.0.1:80${1}1/ready" > /dev/null && return
    sleep 0.5
  done
  echo "entry instance e$1 is not ready" >&2
  return 1
}
