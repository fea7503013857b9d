#!/usr/bin/env bash
# End-to-end test with separate processes on loopback: a fake platform with fake targets, three
# routers, operator commands and a caller. It makes the store unavailable, stops one router
# gracefully during a stream, kills another one, and checks the responses that callers receive.
# Prints "N passed, N failed" at the end; the exit status is 1 if any check failed.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
passed=0
failed=0
# check NAME EXPECTED ACTUAL: passes if ACTUAL contains EXPECTED; EXPECTED is taken literally.
check() {
  if [[ "$3" == *"$2"* ]]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED $1: expected $2, got $3"
  fi
}
# retry COMMAND...: runs the command every 0.1 s until it succeeds, at most 300 times.
retry() {
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  return 1
}

go build -o "$work/valescale" . && go build -o "$work/standin" ./cmd/standin || exit 1
"$work/standin" --plain-time 500ms >"$work/standin.out" &
pids+=($!)
retry test -s "$work/standin.out" || exit 1
platform=$(cat "$work/standin.out")

token=$("$work/valescale" token)
printf '%s' "$token" | awk '/^token /{print $2}' >"$work/operator"
hash=$(printf '%s' "$token" | awk '/^token_sha256/{print $2}')

declare -A pid callers admin
# start ROUTER: starts a router and waits until it listens.
start() {
  cat >"$work/$1.ini" <<INI
[router]
id = $1
zone = zone-a
region = co-central
[callers]
addr = 127.0.0.1:0
[peers]
addr = 127.0.0.1:0
[admin]
addr = 127.0.0.1:0
[platform]
table = $platform
object = $platform
boxes = $platform
[limits]
drain_delay = 300ms
[pace]
gossip = 200ms
list = 200ms
head = 500ms
report = 500ms
[keys]
resume = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
[operators]
ana = $hash
INI
  "$work/valescale" serve --check "$work/$1.ini" >/dev/null || exit 1
  "$work/valescale" serve "$work/$1.ini" 2>"$work/$1.log" &
  pid[$1]=$!
  pids+=($!)
  retry grep -q '"msg":"listening"' "$work/$1.log" || exit 1
  callers[$1]=$(address "$1" callers)
  admin[$1]=$(address "$1" admin)
}
# address ROUTER KEY: prints the address under KEY in the router's "listening" log line; the order
# of the keys does not matter.
address() { grep '"msg":"listening"' "$work/$1.log" | sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" | head -1; }
# box ROUTER: prints the router's entry in the list of boxes.
box() {
  local peers
  peers=$(address "$1" peers)
  printf '{"id":"%s","role":"router","addr":"%s","zone":"zone-a","region":"co-central","state":"live"}' "$1" "$peers"
}
# list ROUTER...: sets the platform's list of boxes to these routers.
list() {
  local entries="" name
  for name in "$@"; do entries="$entries${entries:+,}$(box "$name")"; done
  curl -s -X PUT -d "[$entries]" "$platform/boxes"
}
# chat ROUTER STREAM MAX_TOKENS: sends a chat request and prints the response body.
chat() {
  curl -sN --max-time 20 -H 'Authorization: Bearer bogota' -H 'Content-Type: application/json' \
    -d "{\"model\":\"m\",\"stream\":$2,\"max_tokens\":$3,\"messages\":[{\"role\":\"user\",\"content\":\"q\"}]}" \
    "http://${callers[$1]}/v1/chat/completions"
}
# order ROUTER KEY: sends a request with an idempotency key and prints its Valescale-Outcome.
order() {
  curl -s --max-time 20 -D - -o /dev/null -H 'Authorization: Bearer bogota' -H "Idempotency-Key: $2" -d roses "http://${callers[$1]}/orders" |
    tr -d '\r' | sed -n 's/^Valescale-Outcome: //p'
}
# operator ROUTER COMMAND [ARG...]: runs an operator command against the router.
operator() {
  local router=$1
  shift
  VALESCALE_ROUTER=${admin[$router]} "$work/valescale" "$1" --token-file "$work/operator" "${@:2}" 2>&1
}

for name in router-a router-b router-c; do start "$name"; done
list router-a router-b router-c
# has_all_members ROUTER: succeeds if the router's membership view has all three routers as live.
has_all_members() { [ "$(operator "$1" status --json | grep -o '"state":"MEMBER_STATE_LIVE"' | wc -l)" = 3 ]; }
for name in router-a router-b router-c; do
  retry curl -sf "http://${admin[$name]}/readyz" || { echo "$name did not become ready"; exit 1; }
  # A router is ready before it has read the list of boxes, and a configuration change waits only
  # for listed routers.
  retry has_all_members "$name" || { echo "the membership view of $name did not include all routers"; exit 1; }
done
check "apply" "revision 1 is in force on every router" "$(operator router-a apply examples/services.ini)"
check "status at another router" '"revision":"1"' "$(operator router-c status --json)"
check "answer without streaming" '"content":"8e35c2cd.0 8e35c2cd.1 "' "$(chat router-b false 2)"
check "stream to the end" 'data: [DONE]' "$(chat router-c true 3)"
check "request without a token" '"code":"unauthorized"' "$(curl -s "http://${callers[router-a]}/x")"
check "order" "done" "$(order router-a order-1)"
check "the same order at another router" "done" "$(order router-b order-1)"
check "order runs once" '"order-1":1' "$(curl -s "$platform/runs")"

curl -s -X PUT "$platform/down"
check "order while the store is down" "not_run" "$(order router-a order-2)"
check "chat while the store is down" '"content":"8e35c2cd.0 "' "$(chat router-a false 1)"
curl -s -X DELETE "$platform/down"
check "order after the store is up again" "done" "$(order router-c order-2)"

chat router-b true 60 >"$work/stream" &
stream=$!
retry grep -q data "$work/stream"
kill -TERM "${pid[router-b]}"
wait "$stream"
check "stream during a graceful stop of its router" 'data: [DONE]' "$(cat "$work/stream")"
list router-a router-c
order router-c order-3 >/dev/null &
retry sh -c "curl -s $platform/runs | grep -q order-3"
kill -KILL "${pid[router-c]}"
wait "${pid[router-c]}" 2>/dev/null
check "order whose router was killed while the order ran" "unknown" "$(order router-a order-3)"
check "order of the killed router runs once" '"order-3":1' "$(curl -s "$platform/runs")"
check "claim of the order" "sent" "$(operator router-a claim bogota order-3)"
check "chat after a router was killed" '"content":"8e35c2cd.0 "' "$(chat router-a false 1)"
list router-a
check "apply with one router left" "in force on every router" "$(sed 's/rate = 100/rate = 90/' examples/services.ini >"$work/second.ini"; operator router-a apply --note second "$work/second.ini")"
check "audit" "+ rate = 90" "$(operator router-a audit)"
kill -TERM "${pid[router-a]}"
wait "${pid[router-a]}"
check "exit status after a graceful stop" 0 "$?"
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
