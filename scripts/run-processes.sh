#!/bin/sh
# Runs an installation on loopback with each daemon in its own process, and checks by verified downloads that no flow
# breaks while processes are replaced, paused and killed. Usage: run-processes.sh [zarqa|saobien]
set -eu
cd "$(dirname "$0")/.."
deployment=${1:-zarqa}
case $deployment in
zarqa) first=route-svc second=reports-svc ;;
saobien) first=airtime-core second=report-svc ;;
*) echo "unknown deployment $deployment" >&2; exit 2 ;;
esac

work=$(mktemp -d)
pids=""
# Only processes started by this script are killed, by PID.
trap 'for p in $pids; do kill -CONT "$p" 2>/dev/null || true; kill -9 "$p" 2>/dev/null || true; done; rm -rf "$work"' EXIT

go build -o "$work/bin/" ./cmd/...
lab="$work/bin/auburnwood-lab standin --deployment $deployment"
$lab --write "$work/etc"
export AUBURNWOOD_SERVER=http://127.0.0.1:27000

start() { # name program
  "$work/bin/$2" --settings "$work/etc/$1.toml" >>"$work/$1.log" 2>&1 &
  echo $! > "$work/$1.pid"
  pids="$pids $!"
}
pid() { cat "$work/$1.pid"; }
failed=0
downloads() { # description service count bytes chunk every
  out=$($lab --call "/downloads?service=$2&count=$3&bytes=$4&chunk=$5&every=$6")
  echo "$1: $out"
  case $out in *'"broken":0,'*) ;; *) failed=1 ;; esac
}

$lab > "$work/standin.log" 2>&1 &
pids="$pids $!"
sleep 1
for file in "$work"/etc/balancer-*.toml; do start "$(basename "$file" .toml)" auburnwood-balancer; done
for file in "$work"/etc/*-svc-*.toml "$work"/etc/airtime-core-*.toml; do
  [ -e "$file" ] && start "$(basename "$file" .toml)" auburnwood-agent
done
"$work/bin/auburnwoodctl" apply --wait 20s "$work/etc/services.json"
sleep 2

downloads "without faults" $first 300 65536 0 0s
downloads "without faults" $second 300 65536 0 0s

downloads "while a target drains, a balancer is killed and the object API is down" $first 40 2097152 16384 40ms > "$work/long.txt" &
long=$!
sleep 1
kill -TERM "$(pid $first-1)"
$lab --call "/store?down=true"
kill -9 "$(pid balancer-1)"
sleep 1
$lab --call "/balancer?number=1&present=false"
wait $long || failed=1
cat "$work/long.txt"
case $(cat "$work/long.txt") in *'"broken":0,'*) ;; *) failed=1 ;; esac
$lab --call "/store?down=false"

start balancer-1 auburnwood-balancer
$lab --call "/balancer?number=1&present=true"
downloads "just after the balancer was restarted" $second 200 65536 0 0s

paused() { # description process seconds
  downloads "$1" $first 40 1048576 16384 40ms > "$work/long.txt" &
  long=$!
  sleep 1
  kill -STOP "$(pid "$2")"
  sleep "$3"
  kill -CONT "$(pid "$2")"
  wait $long || failed=1
  cat "$work/long.txt"
  case $(cat "$work/long.txt") in *'"broken":0,'*) ;; *) failed=1 ;; esac
}
paused "while a balancer is paused for 5 s" balancer-2 5
paused "while an agent is paused for 4 s" $first-3 4

downloads "after all faults" $first 300 65536 0 0s
"$work/bin/auburnwoodctl" get

echo "refusal of a call to an address without a service:"
$lab --call "/refused?caller=10.3.0.1"
for _ in 1 2 3 4 5 6 7 8 9 10; do
  "$work/bin/auburnwoodctl" explain --caller 10.3.0.1 > "$work/explain.txt"
  grep -q unknown-address "$work/explain.txt" && break
  sleep 1
done
cat "$work/explain.txt"
grep -q unknown-address "$work/explain.txt" || failed=1
if [ $failed -ne 0 ]; then
  echo "failed: a download broke, or the refusal was not recorded; logs are in out/"
  mkdir -p out && cp "$work"/*.log out/
  exit 1
fi
echo "separate processes: every download whole"
