# Starts and stops the processes of a small deployment; sourced by the other scripts.

set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/target/release
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

build() {
    (cd "$root" && cargo build --release --workspace --quiet)
}

# start NAME COMMAND...: runs a process in the background; its process ID is in $started.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    started=$!
    pids+=("$started")
}

fail() {
    echo "check failed: $*" >&2
    tail -n 5 "$work"/*.log >&2 || true
    exit 1
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
wait_for() {
    local deadline=$(($(date +%s) + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$(date +%s)" -lt "$deadline" ] || return 1
        sleep 0.1
    done
}

# start_deployment INSTANCES KEYED UNKEYED: starts a fake metadata store, fake upstreams of
# a keyed and an unkeyed service, and instances; waits until all keyed ranges have an owner.
# Sets the arrays callers and operators (the instances' addresses), instance_pids and
# upstream_pids (of the keyed upstreams).
# The variable slots sets how many requests an upstream runs at once.
start_deployment() {
    local instances=$1 keyed=$2 unkeyed=$3 i ports
    mapfile -t ports < <("$bin/standin" ports --count $((1 + 2 * (keyed + unkeyed) + 3 * instances)))
    local zones=(yqr yxe ywg)
    platform=127.0.0.1:${ports[0]}
    local next=1
    callers=() operators=() instance_pids=() upstream_pids=()
    start platform "$bin/standin" platform --listen "$platform"
    {
        echo "// Written by scripts/lib.sh."
        echo "{ services: {"
        echo "  tagtrack: { keyed: true, upstreams: {"
        for ((i = 0; i < keyed; i++)); do
            echo "    \"tt-$i\": { zone: \"${zones[i % 3]}\", requests: \"127.0.0.1:${ports[next]}\", grants: \"127.0.0.1:${ports[next + 1]}\" },"
            start "tt-$i" "$bin/standin" upstream --team dryline --service tagtrack --name "tt-$i" \
                --requests "127.0.0.1:${ports[next]}" --grants "127.0.0.1:${ports[next + 1]}" --slots "${slots:-6}"
            upstream_pids+=("$started")
            next=$((next + 2))
        done
        echo "  } },"
        echo "  ratecard: { keyed: false, upstreams: {"
        for ((i = 0; i < unkeyed; i++)); do
            echo "    \"rc-$i\": { zone: \"${zones[i % 3]}\", requests: \"127.0.0.1:${ports[next]}\", grants: \"127.0.0.1:${ports[next + 1]}\" },"
            start "rc-$i" "$bin/standin" upstream --team dryline --service ratecard --name "rc-$i" --unkeyed \
                --requests "127.0.0.1:${ports[next]}" --grants "127.0.0.1:${ports[next + 1]}" --slots "${slots:-6}"
            next=$((next + 2))
        done
        echo "  } },"
        echo "} }"
    } >"$work/dryline.json5"
    for ((i = 0; i < instances; i++)); do
        callers+=("127.0.0.1:${ports[next]}")
        operators+=("127.0.0.1:${ports[next + 1]}")
        cat >"$work/gw-$i.json5" <<END
// Settings of one instance.
{
    id: "gw-$i",
    zone: "${zones[i % 3]}",
    listen: {
        callers: "127.0.0.1:${ports[next]}",
        operators: "127.0.0.1:${ports[next + 1]}",
        control: "127.0.0.1:${ports[next + 2]}",
    },
    platform: "$platform",
}
END
        start "gw-$i" "$bin/godwitloom" serve "$work/gw-$i.json5"
        instance_pids+=("$started")
        next=$((next + 3))
    done
    wait_for 10 "$bin/godwitloom" config --platform "$platform" put dryline "$work/dryline.json5" --edited 0 ||
        fail "configuration was not accepted within 10 s"
    for ((i = 0; i < instances; i++)); do
        wait_for 15 all_owned "${operators[i]}" || fail "instance gw-$i does not know an owner of each range within 15 s"
    done
}

# all_owned ADDRESS: tells whether the instance knows an owner of each keyed range.
all_owned() {
    "$bin/godwitloom" status "$1" | grep -q 'keyed controller .* ranges [1-9][0-9]* unowned 0'
}
