#!/bin/sh
# Checks formatting, lints, tests and fuzzes the whole module. Requires only Go.
set -eu
cd "$(dirname "$0")/.."
fuzz_time=${FUZZ_TIME:-3000x}

echo "== gofmt"
unformatted=$(gofmt -l cmd internal pkg platform)
if [ -n "$unformatted" ]; then
  echo "not formatted:" "$unformatted"
  exit 1
fi

echo "== go vet"
go vet ./...

echo "== staticcheck"
go tool staticcheck ./...

echo "== tests with the race detector"
sh scripts/test-known-red.sh

echo "== short fuzz of everything that parses input"
for package in $(go list -f '{{if or .TestGoFiles .XTestGoFiles}}{{.ImportPath}}{{end}}' ./...); do
  for target in $(go test -list '^Fuzz' "$package" | grep '^Fuzz' || true); do
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$fuzz_time" "$package"
  done
done
echo "all checks passed"
