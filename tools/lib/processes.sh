# Shell functions that start and stop the processes of a demo or measurement.
# Expects $endiveyard and $standin; sets $logs and $pids.

logs=$(mktemp -d)
pids=()

# Stops the processes that start() has started, and no others.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap stop_all EXIT

# start NAME COMMAND...: runs the command in the background; its id is in
# $last_pid.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  last_pid=$!
  pids+=("$last_pid")
}

# wait_until EXPECTED COMMAND...: repeats the command until its output
# contains EXPECTED; gives up after 20 s.
wait_until() {
  local expected=$1 out=
  shift
  for _ in $(seq 200); do
    out=$("$@" 2>&1 || true)
    if [[ "$out" == *"$expected"* ]]; then
      return 0
    fi
    sleep 0.1
  done
  echo "gave up waiting for '$expected' from: $*" >&2
  echo "$out" >&2
  return 1
}

# Processor time of a process so far, in milliseconds.
cpu_ms() {
  awk -v hz="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / hz)}' "/proc/$1/stat"
}

# Resident memory of a process, in KiB.
rss_kib() {
  awk '/^VmRSS/ {print $2}' "/proc/$1/status"
}

# write_settings FILE ID CALLER_PORT PEER_PORT OBJECT_API_PORT [DOMAIN]
write_settings() {
  cat >"$1" <<SETTINGS
[instance]
id = "$2"
region = "sicilia-ovest"
failure_domain = "${6:-palermo-a}"
[callers]
listen = "127.0.0.1:$3"
shutdown_bound_ms = 5000
[peers]
listen = "127.0.0.1:$4"
[object_api]
url = "http://127.0.0.1:$5"
[targets]
load_poll_ms = 1000
[log]
level = "warn"
SETTINGS
}
