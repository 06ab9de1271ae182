#!/usr/bin/env bash
# A gateway runs, its settings file changes to a stop time with a fraction, and the process is
# restarted as in planned work. It must start again. Exit 0: it did; 1: it did not; 2: the case
# could not run. With TROUBLE=0 the stop time changes to another whole number.
set -u
cd "$(dirname "$0")/../.." || exit 2
folder=review/9
record=$folder/record.txt
daemon=target/release/corianderrampd
template=deploy/gateway.toml
trouble=${TROUBLE:-1}
: > "$record"
say() { echo "$(date +%H:%M:%S.%3N) $*" >> "$record"; }
[ -x "$daemon" ] && command -v curl > /dev/null || { say "no daemon or no curl"; exit 2; }
work=$(mktemp -d) || exit 2
pid=
trap '[ -z "$pid" ] || { kill -KILL "$pid"; wait "$pid"; } 2> /dev/null; rm -rf "$work"' EXIT

# Free ports: nothing accepts connections there.
free_port() {
  local port
  for _ in $(seq 50); do
    port=$((20000 + RANDOM % 10000))
    (exec 3<> "/dev/tcp/127.0.0.1/$port") 2> /dev/null || { echo $port; return; }
  done
}
front=$(free_port) ready=$(free_port) store=$(free_port) internal=$(free_port) metrics=$(free_port)

# Fills in the template of the deploy file as the platform does, with a stop time of $1 seconds.
# Only the metrics port differs: 9464 may be in use.
render() {
  sed -e '/{{#bounds.evacuate_ms}}/,/{{\/bounds.evacuate_ms}}/d' \
    -e '/{{#bounds.cold_overage}}/,/{{\/bounds.cold_overage}}/d' \
    -e '/{{#bounds.cold_slack}}/,/{{\/bounds.cold_slack}}/d' \
    -e '/{{[#\/]bounds.config_apply_ms}}/d' \
    -e '/{{[#\/]zones}}/d' \
    -e 's/^"{{@}}" = {{.|json}}$/"cb-a" = "central-belt"/' \
    -e 's/{{node_name|json}}/"front-cb-a-1"/' \
    -e 's/{{zone|json}}/"cb-a"/' \
    -e 's/{{region|json}}/"central-belt"/' \
    -e 's/{{ip|json}}/"127.0.0.1"/' \
    -e "s/{{ip}}:9464/127.0.0.1:$metrics/" \
    -e "s/{{internal_ports|json}}/[$internal,$internal]/" \
    -e "s/{{platform.address|json}}/\"127.0.0.1:$store\"/" \
    -e 's/{{limits.link_mbps}}/700.0/' \
    -e "s/{{listen.front|json}}/\"127.0.0.1:$front\"/" \
    -e "s/{{listen.ready|json}}/\"127.0.0.1:$ready\"/" \
    -e "s/{{bounds.grace_s}}/$1/" \
    -e 's/{{bounds.version_ms}}/8000/' \
    -e 's/{{bounds.config_apply_ms}}/2000/' "$template" > "$work/settings.toml"
  if grep -q '{{' "$work/settings.toml"; then say "the template has other fields"; exit 2; fi
  say "settings with grace_s = $1: $(grep '^stop_ms' "$work/settings.toml")"
}

start() {
  "$daemon" "$work/settings.toml" >> "$work/log" 2>&1 &
  pid=$!
  say "started process $pid"
}

# Whether the process answers the platform's readiness probe, with whatever status, within 10 s.
answers() {
  local status
  for _ in $(seq 100); do
    status=$(curl -s -o /dev/null -m 1 -w '%{http_code}' "http://127.0.0.1:$ready/ready")
    if [ "$status" != 000 ]; then say "GET /ready: $status"; return 0; fi
    if ! kill -0 "$pid" 2> /dev/null; then
      wait "$pid"
      say "the process has ended with status $?"
      return 1
    fi
    sleep 0.1
  done
  say "GET /ready: no answer in 10 s"
  return 1
}

render 8
start
answers || { sed "s|$work|WORK|g" "$work/log" >> "$record"; exit 2; }
if [ "$trouble" = 0 ]; then render 9; else render 7.5; fi
kill -HUP "$pid"
say "SIGHUP"
sleep 0.5
kill -0 "$pid" 2> /dev/null || { say "the process ended at SIGHUP"; exit 1; }
kill -TERM "$pid"
say "SIGTERM"
for _ in $(seq 90); do
  kill -0 "$pid" 2> /dev/null || break
  sleep 0.1
done
kill -0 "$pid" 2> /dev/null && { say "the process did not stop"; exit 2; }
wait "$pid"
say "stopped with status $?"
start
result=0
answers || result=1
sed "s|$work|WORK|g" "$work/log" >> "$record"
say "result: $result"
exit $result
