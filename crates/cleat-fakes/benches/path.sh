#!/bin/sh
# Measures the request path on loopback: the client straight to a stand-in
# target, through a bare forwarder, and through one instance, in one run.
# Usage: crates/cleat-fakes/benches/path.sh [OPTIONS OF bench-path]
# Needs: cargo, and nothing else. Processes are ended by their ids.
set -eu
cd "$(dirname "$0")/../../.."
cargo build --release -p cleat-fakes -p celerycleat -p celerycleatd
bin=${CARGO_TARGET_DIR:-target}/release
folder=$(mktemp -d)
pids=
cleanup() {
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
    rm -r "$folder"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# field FILE KEY: a text of the first JSON line that a process has printed.
field() {
    for _ in $(seq 100); do
        value=$(sed -n '1s/.*"'"$2"'":"\([^"]*\)".*/\1/p' "$1")
        if [ -n "$value" ]; then echo "$value"; return; fi
        sleep 0.1
    done
    echo "no $2 in $1" >&2
    return 1
}

cat >"$folder/settings.json" <<'JSON'
{
  "name": "e1", "data_centre": "dc1",
  "listen": {"callers": "127.0.0.1:0", "targets": "127.0.0.1:0",
             "operators": "127.0.0.1:0", "peers": "127.0.0.1:17401"},
  "peers": [{"name": "e1", "data_centre": "dc1", "address": "127.0.0.1:17401", "votes": true}],
  "data_folder": "data",
  "log": {"level": "warn", "format": "json", "file": null}
}
JSON
cat >"$folder/fleet.json" <<'JSON'
{
  "data_centres": {"dc1": {}},
  "pools": {"runners": {"instances": {"r1": {"data_centre": "dc1", "rack": "k1"}},
                        "availability_budget": 1}},
  "services": {"dock": {"pool": "runners", "deadline_ms": 10000}}
}
JSON
sed -i "s|\"data_folder\": \"data\"|\"data_folder\": \"$folder/data\"|" "$folder/settings.json"

"$bin/celerycleatd" --settings "$folder/settings.json" >"$folder/instance" 2>"$folder/log" &
instance=$!
pids="$pids $instance"
callers=$(field "$folder/instance" callers)
targets=$(field "$folder/instance" targets)
operators=$(field "$folder/instance" operators)
for _ in $(seq 50); do
    if "$bin/celerycleat" --server "$operators" config apply "$folder/fleet.json" \
        --expect 0 --command-id bench; then break; fi
    sleep 0.2
done
"$bin/cleat-fakes" target --name t1 --service dock --instance r1 --data-centre dc1 \
    --announce "$targets" --slots 64 --connections 256 >"$folder/target" &
pids="$pids $!"
target=$(field "$folder/target" address)
# As many threads as the instance takes: they alone cost processor time.
"$bin/cleat-fakes" --threads "$(nproc)" forwarder --upstream "$target" >"$folder/forwarder" &
forwarder_pid=$!
pids="$pids $forwarder_pid"
forwarder=$(field "$folder/forwarder" address)
# One renewal later the instance has the target.
sleep 2
"$bin/cleat-fakes" bench-path --target "$target" \
    --forwarder "$forwarder" --forwarder-pid "$forwarder_pid" \
    --instance "$callers" --instance-pid "$instance" "$@"
