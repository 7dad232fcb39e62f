#!/usr/bin/env bash
# Builds the binaries, runs a small deployment on loopback addresses under load
# and prints a table of results. Exits non-zero when a guarantee was violated or
# a step failed.
#
#   DEMO_NET      first two numbers of the loopback addresses (127.80)
#   DEMO_SECONDS  duration of the load in seconds (12)
#   DEMO_BINDING  binding of the first service: bound, if all requests of a flow
#                 must run on the backend server that holds it, or independent
#                 (independent)
#   DEMO_FABRIC   faults that the fabric injects, for example
#                 "--loss 2 --duplicate 2 --delay-ms 5" (none)
#   DEMO_OUT      directory for logs and reports, which is deleted first
#                 (target/demo)
set -euo pipefail
cd "$(dirname "$0")"

net=${DEMO_NET:-127.80}
binding=${DEMO_BINDING:-independent}
seconds=${DEMO_SECONDS:-12}
out=${DEMO_OUT:-target/demo}
read -ra faults <<<"${DEMO_FABRIC:-}"

platform=$net.0.1:8500
fabric=$net.0.2:7000
roster=$net.9.1:5000
rota=$net.9.2:5000

cargo build --quiet -p app -p standin
bin=${CARGO_TARGET_DIR:-target}/debug
rm -rf "$out"
mkdir -p "$out"

GREENGAGELUG_SIGN_KEY=1:$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')
export GREENGAGELUG_SIGN_KEY

declare -A pids=()

# Starts a process in the background and logs its output: NAME COMMAND...
start() {
    local name=$1
    shift
    "$@" >>"$out/$name.log" 2>&1 &
    pids[$name]=$!
}

# Stops all remaining processes with SIGTERM, and after 8 s with SIGKILL.
finish() {
    local status=$?
    trap - EXIT
    kill -TERM "${pids[@]}" 2>/dev/null || true
    local deadline=$((SECONDS + 8))
    while kill -0 "${pids[@]}" 2>/dev/null && [ "$SECONDS" -lt "$deadline" ]; do
        sleep 0.1
    done
    kill -KILL "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

# Starts an entry: NUMBER
entry() {
    local peers
    peers=$(printf ",$net.1.%d:7000" 1 2 3)
    start "entry-$1" "$bin/greengagelug" entry --listen "$net.1.$1:7000" \
        --operator "$net.1.$1:7002" \
        --fabric "$fabric" --zone "$1" --peers "${peers#,}" --store "$platform"
}

# Starts a backend server and its agent:
# NUMBER SERVICE ADDRESS SLOTS RUN_TIME_MS FLAGS...
target() {
    backends+=("$net.2.$1:8080")
    start "backend-$1" "$bin/standin" backend --listen "$net.2.$1:8080" \
        --service "$2" --slots "$4" --time-ms "$5" "${@:6}"
    agent "$1" "$3" "$4"
}

# Starts an agent: NUMBER SERVICE SLOTS
agent() {
    start "agent-$1" "$bin/greengagelug" agent --listen "$net.2.$1:7000" \
        --control "$net.2.$1:7001" --service "$2" --backend "$net.2.$1:8080" \
        --zone $(($1 % 4 + 1)) --slots "$3" --seeds "$net.1.1:7000,$net.1.2:7000"
}

# Runs an operator command against the first two entries: COMMAND...
operate() {
    "$bin/greengagelug" operate --entries "$net.1.1:7002,$net.1.2:7002" "$@"
}

# Repeats a command until it succeeds or the time is over: SECONDS COMMAND...
retry() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@"; do
        if [ "$SECONDS" -ge "$deadline" ]; then
            echo "timed out: $*" >&2
            return 1
        fi
        sleep 0.2
    done
}

# Prints the id of the target whose agent has an address: ADDRESS
target_id() {
    operate status | sed -n "s/^target: \([0-9]*\) .* at $1 .*/\1/p"
}

# Succeeds if every entry knows 11 ready targets and both services.
ready() {
    local number status
    for number in 1 2 3; do
        status=$("$bin/greengagelug" operate --entries "$net.1.$number:7002" status)
        [ "$(grep -c '^target: .*ready' <<<"$status")" -eq 11 ] || return 1
        [ "$(grep -c '^in force: ' <<<"$status")" -eq 2 ] || return 1
    done 2>/dev/null
}

echo "== starting"
backends=()
start platform "$bin/standin" platform --listen "$platform"
for number in 1 2 3; do
    entry "$number"
done
printf "$net.1.%d:7000\n" 1 2 3 >"$out/entries"
start fabric "$bin/standin" fabric --listen "$fabric" --service "$roster" \
    --service "$rota" --entries-file "$out/entries" --key "$GREENGAGELUG_SIGN_KEY" "${faults[@]}"

# The backend servers differ in speed. Number 2 has no queue and sheds requests
# when its slots are busy, number 5 has a cold start, and the second service has
# answers of at least 8000 bytes.
target 1 roster "$roster" 4 20
target 2 roster "$roster" 4 25 --queue 0
target 3 roster "$roster" 4 30
target 4 roster "$roster" 4 40
target 5 roster "$roster" 4 50 --cold-ms 6000
target 6 roster "$roster" 4 60
target 7 roster "$roster" 4 80
target 8 rota "$rota" 2 30 --answer 8000
target 9 rota "$rota" 2 45 --answer 8000
target 10 rota "$rota" 2 60 --answer 8000
target 11 rota "$rota" 2 90 --answer 8000

echo "== configuring"
retry 10 operate create "$roster" --name roster --binding "$binding" >/dev/null
retry 10 operate create "$rota" --name rota --binding independent >/dev/null
retry 15 ready

echo "== load for $seconds s"
broken=0
# Runs a caller and writes its report and plot: NAME FLAGS...
call() {
    local name=$1
    shift
    "$bin/greengagelug" call --name "$name" --duration "$seconds" \
        --output "$out/$name.json" --plot "$out/$name.svg" "$@" >"$out/call-$name.log" 2>&1
}
call roster --service "$roster" --flows 200 --rate 450 &
roster_call=$!
call rota --service "$rota" --flows 50 --rate 90 &
rota_call=$!
pids[call-roster]=$roster_call
pids[call-rota]=$rota_call

pause=$((seconds / 5))
sleep "$pause"
echo "== planned stop of entry 3"
kill -TERM "${pids[entry-3]}"
sleep 1
printf "$net.1.%d:7000\n" 1 2 >"$out/entries"

sleep "$pause"
echo "== planned replacement of the agent of backend server 2"
kill -HUP "${pids[agent-2]}"
wait "${pids[agent-2]}" || broken=$?
agent 2 "$roster" 4

sleep "$pause"
echo "== drain of backend server 3"
operate drain "$roster" "target:$(target_id "$net.2.3:7000")" >/dev/null || broken=$?

sleep "$pause"
echo "== planned stop of the agent of backend server 11"
kill -TERM "${pids[agent-11]}"
wait "${pids[agent-11]}" || broken=$?

wait "$roster_call" || broken=$?
wait "$rota_call" || broken=$?

echo "== result"
reports=(--report "$out/roster.json" --report "$out/rota.json")
"$bin/standin" audit "${reports[@]}" "${backends[@]/#/--backend=}" || broken=$?
echo "latency during the run: $out/roster.svg and $out/rota.svg"
exit "$broken"
