# Sourced by commands that run a local cluster. Expects to be at the root of the workspace.
# Processes that are started are noted and ended by their ids when the command ends.
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

# start_platform WORKERS
start_platform() {
  bin/testbed-platform --address 127.0.0.1:7000 > "$run/platform.log" 2>&1 & pids+=("$!")
  bin/testbed-workers --count "$1" > "$run/workers.log" 2>&1 & pids+=("$!")
}

# start_entry NUMBER: listens to callers at port 80N0, to operators at 80N1, to peers at 80N2
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

# await_ready NUMBER
await_ready() {
  for _ in $(seq 120); do
    curl -sf "127.0.0.1:80${1}1/ready" > /dev/null && return
    sleep 0.5
  done
  echo "entry instance e$1 is not ready" >&2
  return 1
}
