#!/usr/bin/env bash
# Runs a case: run-2.sh CASE RECORD. The stand-in program of the case writes settings and has this script start the entry VMs
# with the command of the deploy file. As on the platform, a process that ends is started again after a short delay.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
standin=target/review-2/standin
gateway=target/release/shallotwingd
[ -x "$standin" ] && [ -x "$gateway" ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
record=$2

keep_running() {
    trap 'exit 0' TERM
    while [ ! -e "$folder/stop" ]; do
        SHALLOTWING_SETTINGS="$folder/$1.ini" "$gateway" --config "$folder/$1.ini" >>"$folder/$1.log" 2>&1 &
        echo $! >"$folder/$1.pid"
        wait $!
        sleep 0.3
    done
}

TROUBLE=${TROUBLE:-1} timeout 115 "$standin" "$1" "$folder" "$record" &
driver=$!
for _ in $(seq 100); do [ -e "$folder/start" ] && break; sleep 0.1; done
keepers=()
if [ -e "$folder/start" ]; then
    while read -r name; do
        keep_running "$name" 2>/dev/null &
        keepers+=($!)
    done <"$folder/start"
fi
wait "$driver"
result=$?
touch "$folder/stop"
kill "${keepers[@]}" 2>/dev/null
for pid in "$folder"/*.pid; do [ -e "$pid" ] && kill -9 "$(cat "$pid")" 2>/dev/null; done
wait 2>/dev/null
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
rm -rf "$folder"
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
