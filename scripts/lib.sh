# Functions for scripts that run stand-ins and entries as processes. A script sources this file and
# calls start_run. The processes' files are in $run; the processes end and the files are removed when the script exits.

# start_run builds the programs, creates the run's directory and sets the exit traps.
start_run() {
  mkdir -p bin
  go build -o bin/ ./cmd/cicadavalve ./cmd/cvlab
  run=$(mktemp -d)
  pids=()
  echo "a secret for this run alone: $RANDOM$RANDOM$RANDOM$RANDOM" >"$run/cache.secret"
  trap stop_all EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# stop_all terminates every process by its id and exits with the script's status. KEEP_LOGS=DIR copies the run's files
# to DIR after a failure.
stop_all() {
  local status=$? pid
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ] && [ -n "${KEEP_LOGS:-}" ]; then cp -r "$run" "$KEEP_LOGS"; fi
  rm -rf "$run"
  exit "$status"
}

# kill_all kills every process by its id and removes the address files, so that the next run starts fresh.
kill_all() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
  rm -f "$run"/*.address
}

# use_preset NAME: sets the zones, models, service, organisations and sizes of the preset's cluster.
use_preset() {
  case "$1" in
  otakou)
    zones=(dunedin mosgiel oamaru) models=(wear-summary span-check defect-writeup) service=ticket
    classes=(interactive interactive deferred) per_model=4 load_time=800ms
    orgs="otago-lines tram-depot harbour-wire hill-crew port-feeder north-span south-span survey council stores" ;;
  kompostfenster)
    zones=(graz-nord graz-sued leoben) models=(soil-notes slot-window season-report) service=booking
    classes=(interactive interactive deferred) per_model=3 load_time=200ms
    orgs="graz-west graz-ost leibnitz leoben bruck weiz hartberg murau liezen voitsberg" ;;
  *) echo "PRESET: expected otakou or kompostfenster, not $1" >&2; return 1 ;;
  esac
}

# wait_for FILE PID: waits until a process has written its address, for 10 s at most. Fails if the process ends before.
wait_for() {
  for _ in $(seq 200); do
    [ -s "$1" ] && return 0
    kill -0 "$2" 2>/dev/null || { echo "a process ended early; its log:" >&2; cat "${1%.address}.log" >&2; return 1; }
    sleep 0.05
  done
  echo "no address in $1 after 10 s" >&2
  return 1
}

# stand NAME KIND ARGS...: starts a stand-in and waits for its address.
stand() {
  local name=$1 kind=$2
  shift 2
  bin/cvlab stand "$kind" --address-file "$run/$name.address" "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  wait_for "$run/$name.address" "$!"
}

# address NAME: prints the address on which a stand-in listens.
address() { cat "$run/$1.address"; }

# entry NAME ZONE: starts an entry with the common settings and those on standard input. Sets caller and
# peer to its addresses and entry_pid to its process id.
entry() {
  {
    printf 'entry: %s\nzone: %s\ncaller_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\n' "$1" "$2"
    printf 'log_url: http://%s/\nlist_url: http://%s/\nplaintext: true\n' "$(address log)" "$(address list)"
    printf 'tokens_file: %s/tokens.yaml\ncache_secret_file: %s/cache.secret\n' "$run" "$run"
    cat
  } >"$run/$1.yaml"
  rm -f "$run/$1.address"
  bin/cicadavalve entry --config "$run/$1.yaml" --address-file "$run/$1.address" 2>"$run/$1.log" &
  entry_pid=$!
  pids+=("$entry_pid")
  wait_for "$run/$1.address" "$entry_pid"
  read -r caller peer <"$run/$1.address"
}

# join ITEMS...: prints the items separated by commas.
join() {
  local IFS=,
  echo "$*"
}
