#!/usr/bin/env bash
# Runs the measuring programs of a built tree and prints their figures under headings (docs/CAPACITY.md).
# Each part has a time limit. A part that is missing, fails or meets its limit is said so; only a failed
# part, not a missing one or one stopped by its limit, makes the exit status 1.
set -euo pipefail
build=${1:?usage: capacity.sh BUILD_DIR}
build=$(cd "$build" && pwd)
failed=0
work=$(mktemp -d)
demo_job=
demo=
# shellcheck disable=SC2317 # called by the trap
finish() {
    if [ -n "$demo" ]; then
        kill -CONT "$demo" 2>/dev/null || true
    fi
    if [ -n "$demo_job" ]; then
        wait "$demo_job" 2>/dev/null || true
    fi
    rm -rf "$work"
}
trap finish EXIT

heading() { printf '\n== %s\n' "$1"; }

# part HEADING SECONDS PROGRAM [ARGUMENT...]
part() {
    local title=$1 limit=$2 program=$3 path status=0
    shift 3
    heading "$title"
    path=$(find "$build" -type f -name "$program" -perm -u+x -print -quit)
    if [ -z "$path" ]; then
        echo "not run: $program is not built"
        return
    fi
    echo "$program $* (limit $limit s)"
    timeout "$limit" "$path" "$@" 2>&1 || status=$?
    if [ "$status" -eq 124 ]; then
        echo "stopped by its limit of $limit s: the figures above are partial"
    elif [ "$status" -ne 0 ]; then
        echo "FAILED with status $status"
        failed=1
    fi
}

# One line for each gateway: its ticks of processor time, memory and TCP counters so far.
sample() {
    local process connections
    date +'at %s.%N'
    for process in "$@"; do
        printf 'pid=%s ticks=%s rss_kb=%s anon_kb=%s threads=%s' "$process" \
            "$(awk '{ print $14 + $15 }' "/proc/$process/stat")" \
            "$(awk '/^VmRSS/ { print $2 }' "/proc/$process/status")" \
            "$(awk '/^RssAnon/ { print $2 }' "/proc/$process/status")" \
            "$(awk '/^Threads/ { print $2 }' "/proc/$process/status")"
        if command -v ss > /dev/null; then
            connections=$(ss -tinp | tail -n +2 | paste - - | grep "pid=$process," || true)
            for counter in bytes_sent bytes_received segs_out segs_in; do
                printf ' %s=%s' "$counter" "$(grep -o " $counter:[0-9]*" <<< "$connections" \
                    | awk -F: '{ sum += $2 } END { print sum + 0 }')"
            done
        fi
        echo
    done
}

# The demo's four gateways without requests: the demo is stopped after they have started, and goes on afterwards.
idle_fleet() {
    heading "Four idle gateways for 20 s (ticks of 1/$(getconf CLK_TCK) s; TCP counters of open connections)"
    local program gateway standins process gateways=() status=0
    program=$(find "$build" -type f -name cardamomstream-demo -perm -u+x -print -quit)
    gateway=$(find "$build" -type f -name cardamomstream -perm -u+x -print -quit)
    standins=$(find "$build" -type f -name cardamomstream-standins -perm -u+x -print -quit)
    if [ -z "$program" ] || [ -z "$gateway" ] || [ -z "$standins" ]; then
        echo "not run: the demo, the gateway or the stand-ins are not built"
        return
    fi
    timeout 90 "$program" --binary "$gateway" --standins "$standins" > "$work/demo.log" 2>&1 &
    demo_job=$!
    sleep 2.2
    demo=$(pgrep -P "$demo_job" || true)
    if [ -n "$demo" ] && kill -STOP "$demo"; then
        for process in $(pgrep -P "$demo"); do
            if tr '\0' ' ' < "/proc/$process/cmdline" | grep -q ' serve '; then
                gateways+=("$process")
            fi
        done
        sample "${gateways[@]}"
        sleep 20
        sample "${gateways[@]}"
        kill -CONT "$demo"
    fi
    wait "$demo_job" || status=$?
    demo=
    demo_job=
    if [ "$status" -ne 0 ] || [ "${#gateways[@]}" -ne 4 ]; then
        echo "FAILED: the demo ended with status $status, ${#gateways[@]} gateways seen"
        tail -n 5 "$work/demo.log"
        failed=1
    fi
}

heading "Machine"
echo "$(nproc) processors, load $(cut -d' ' -f1-3 /proc/loadavg)"
part "Allowance: time for each request and tick, memory for each customer" 60 \
    cardamomstream_allowance_cost_bench --benchmark_min_time=0.2
part "Allowance: refusals and messages, 6 VMs in virtual time" 60 \
    cardamomstream_allowance_bench --load 0.7 --burst-used 0.8 --seed 1
part "Routing: policies in virtual time" 60 cardamomstream_routing_bench --seconds 60 --seed 1
part "Membership: bytes and spread time in virtual time (480 VMs need about 60 s, 970 more than the limit)" \
    "${CAPACITY_MEMBERSHIP_SECONDS:-90}" cardamomstream_membership_tests "[.measure]"
idle_fleet
exit "$failed"
