#!/bin/bash
# play.sh CASE FOLDER: starts three gateways with the command of the deploy file, plays a case, and ends them.
cd "$(dirname "$0")/.." || exit 2
CASE=$1 FOLDER=$2
export TROUBLE=${TROUBLE:-1}
[ -x target/release/shallotwingd ] && [ -x target/review/standin ] || exit 2
DIR=$(mktemp -d) || exit 2
mapfile -t PORT < <(target/review/standin ports 24)
[ ${#PORT[@]} = 24 ] || exit 2
at() { echo "127.0.0.1:${PORT[$1]}"; }

# Gateways 0 and 1 are in one region, 2 in another one. Each takes five ports from 6 + 5 * its number. Of the six servers,
# four are in the region of gateways 0 and 1, or two as in hyderabad.
export LOCAL=lahore
[ "$CASE" = versions ] && LOCAL=hyderabad
zone() { [ "$1" = 2 ] && echo multan || echo $LOCAL; }
settings() {
    local b=$((6 + 5 * $1))
    cat <<EOF
[vm]
id = edge-$(zone $1)-a-$1
domain = $(zone $1)-a
region = $(zone $1)
listen = $(at $b)
peer_listen = $(at $((b + 1)))
seeds = $(at 7),$(at 12),$(at 17)

[relay]
store = $(at 21)
ready_listen = $(at $((b + 2)))
directory_listen = $(at $((b + 3)))
metrics_listen = $(at $((b + 4)))
stop_grace_ms = 8000

[retries]
ratio = 0.2
slack = 54

[domain $LOCAL-a]
region = $LOCAL

[domain multan-a]
region = multan
EOF
}

# Runs a gateway; like the platform, starts it again shortly after it has ended.
supervise() {
    while [ ! -e "$DIR/stop" ]; do
        SHALLOTWING_SETTINGS="$DIR/vm$1" target/release/shallotwingd --config "$DIR/vm$1" >> "$DIR/vm$1.log" 2>&1 &
        echo $! > "$DIR/vm$1.pid"
        wait $! 2> /dev/null
        sleep 0.5
    done
} 2> /dev/null

export DIR RECORD="$FOLDER/record.txt" STORE=$(at 21)
export SERVERS="$(at 0),$(at 1),$(at 2),$(at 3),$(at 4),$(at 5)"
export VMS="$(at 6),$(at 11),$(at 16)" READY="$(at 8),$(at 13),$(at 18)"
timeout 110 target/review/standin "$CASE" &
STANDIN=$!
for i in 0 1 2; do
    settings $i > "$DIR/vm$i"
    supervise $i &
done
while kill -0 $STANDIN 2> /dev/null; do
    if [ -e "$DIR/kill" ]; then
        rm "$DIR/kill"
        for i in 0 1 2; do kill -KILL "$(cat "$DIR/vm$i.pid")"; done
    fi
    sleep 0.05
done
wait $STANDIN
RESULT=$?
touch "$DIR/stop"
for i in 0 1 2; do kill -KILL "$(cat "$DIR/vm$i.pid")" 2> /dev/null; done
wait 2> /dev/null
[ -n "$KEEP_LOGS" ] && cp "$DIR"/vm*.log "$KEEP_LOGS"
rm -rf "$DIR"
[ $RESULT -le 1 ] || RESULT=2
exit $RESULT
