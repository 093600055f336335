# Starts and stops a small cluster on loopback. Sourced by scripts that need
# running processes; every process is a child of the sourcing script.
#
# The sourcing script sets `work`, the directory for settings, logs and
# histories. take_ports sets `base`, the first port of the cluster;
# start_cluster defines `ctl`, which runs the operators' command.
#
# Environment:
#   BUILD_DIR          build directory (build)
#   KEEP_FILES         if not empty, stop_all keeps $work
#   BALANCER_EXTRA     lines appended to the settings of every balancer
#   COLD_MS            milliseconds for which a started target is cold (500)
#   FABRIC_LOSS        packets lost by the fabric, in percent (0)
#   FABRIC_DUPLICATES  packets duplicated by the fabric, in percent (0)

bin=${BUILD_DIR:-build}
cluster_key=$(printf '0123456789abcdef%.0s' 1 2 3 4)
declare -A pids=()

# Reserves a block of 200 ports, between 8000 and 31999, and sets `base` to its
# first port. The lock on a file per block keeps concurrent runs apart until the
# script and its children end.
take_ports() {
  local block
  for block in $(seq 0 119); do
    exec {port_lock}>"${TMPDIR:-/tmp}/turmericstream-ports-$block"
    if flock -n "$port_lock"; then
      base=$((8000 + block * 200))
      return 0
    fi
    exec {port_lock}>&-
  done
  echo "no free block of ports: other runs hold all 120 blocks of 200 between 8000 and 31999" >&2
  return 1
}

# start NAME COMMAND...: runs a command in the background. Its standard output
# is appended to $work/NAME.out and its standard error to $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.out" 2>>"$work/$name.log" &
  pids[$name]=$!
}

# stop NAME [SIGNAL]: sends SIGNAL (TERM) to a process, waits for its end and
# returns its exit code; 0 if no such process was started.
stop() {
  local pid=${pids[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  local code=0
  wait "$pid" 2>/dev/null || code=$?
  unset "pids[$1]"
  return "$code"
}

# Kills all processes that `start` has started and removes $work.
stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  [ -n "${KEEP_FILES:-}" ] || rm -rf "$work"
}

# wait_for SECONDS COMMAND...: repeats a command every 0.1 s until it succeeds;
# returns 1 if it did not within SECONDS.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# balancer_zone NUMBER: prints the zone; balancers 1 to 3 are in sapporo.
balancer_zone() { [ "$1" -le 3 ] && echo sapporo || echo asahikawa; }

# write_settings NUMBER [LINES]: writes the settings file of a balancer, with
# LINES at the end of [platform]. The seeds are the gossip ports of balancers 1
# and 4, one in each zone.
write_settings() {
  local n=$1 port=$((base + 20 + $1 * 4))
  cat >"$work/balancer$n.ini" <<INI
[instance]
name = balancer$n
zone = $(balancer_zone "$n")
cluster = demo
key = $cluster_key

[network]
address = 127.0.0.1
service_port = $port
peer_port = $((port + 1))
gossip_port = $((port + 2))
admin_port = $((port + 3))
seeds = 127.0.0.1:$((base + 26)),127.0.0.1:$((base + 38))

[platform]
address = 127.0.0.1:$base
${2:-}
INI
}

# start_balancer NUMBER: starts turmericd with the file of write_settings.
start_balancer() { start "balancer$1" "$bin/apps/turmericd/turmericd" --settings "$work/balancer$1.ini"; }

# start_target SERVICE NAME PORT [OPTION...]: starts a stand-in of a target.
start_target() {
  local service=$1 name=$2 port=$3
  shift 3
  start "target-$name" "$bin/tests/standin_target" --listen "127.0.0.1:$port" \
    --service "chroniclers/$service" --name "$name" \
    --history "$work/history.$name" "$@"
}

# Starts platform, fabric, six balancers in two zones and six targets, writes
# the operators' files, and waits up to 30 s until all balancers answer
# `ctl status`.
start_cluster() {
  local n services="" admins=""
  start platform "$bin/tests/standin_platform" --listen "127.0.0.1:$base"
  for n in 1 2 3 4 5 6; do
    write_settings "$n" "${BALANCER_EXTRA:-}"
    start_balancer "$n"
    services+="${services:+,}127.0.0.1:$((base + 20 + n * 4))"
    admins+="${admins:+,}127.0.0.1:$((base + 23 + n * 4))"
  done
  start fabric "$bin/tests/standin_fabric" --listen "127.0.0.1:$((base + 1))" \
    --balancers "$services" --loss "${FABRIC_LOSS:-0}" \
    --duplicates "${FABRIC_DUPLICATES:-0}"
  for n in 1 2 3 4; do
    start_target notes "notes$n" $((base + 60 + n)) --cold-ms "${COLD_MS:-500}"
  done
  for n in 1 2; do
    start_target archive "archive$n" $((base + 70 + n)) --cold-ms "${COLD_MS:-500}"
  done
  cat >"$work/operator.ini" <<INI
[operator]
platform = 127.0.0.1:$base
balancers = $admins
cluster = demo
key = $cluster_key
author = demo
INI
  cat >"$work/template.ini" <<'INI'
[template]
name = club

[service notes]
slots = 2
latency_ms = 400

[service archive]
slots = 2
latency_ms = 2000
INI
  cat >"$work/account.ini" <<INI
[account]
name = chroniclers
template = club
zones = sapporo, asahikawa

[targets notes]
notes1 = sapporo 127.0.0.1:$((base + 61))
notes2 = sapporo 127.0.0.1:$((base + 62))
notes3 = asahikawa 127.0.0.1:$((base + 63))
notes4 = asahikawa 127.0.0.1:$((base + 64))

[targets archive]
archive1 = sapporo 127.0.0.1:$((base + 71))
archive2 = asahikawa 127.0.0.1:$((base + 72))
INI
  ctl() { "$bin/apps/turmericstream/turmericstream" "$1" -c "$work/operator.ini" "${@:2}"; }
  wait_for 30 ctl status
}

# start_load NAME SERVICE REQUESTS CALLERS SEED [OPTION...]: starts callers that
# send requests through the fabric.
start_load() {
  local name=$1 service=$2 requests=$3 callers=$4 seed=$5
  shift 5
  start "load-$name" "$bin/tests/standin_load" \
    --fabric "127.0.0.1:$((base + 1))" --cluster demo \
    --service "chroniclers/$service" --requests "$requests" \
    --callers "$callers" --seed "$seed" --history "$work/history.load-$name" "$@"
}

# wait_load NAME: waits until the process of start_load ends, that is, until all
# its requests have a final result.
wait_load() {
  wait "${pids[load-$1]}" 2>/dev/null || true
  unset "pids[load-$1]"
}
