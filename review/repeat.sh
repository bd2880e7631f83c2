#!/bin/sh
# Runs a case five times with its disruption and once without, and prints the exit status of each run.
# Usage: review/repeat.sh N
cd "$(dirname "$0")/$1" || exit 2
out=$(mktemp) || exit 2
for run in 1 2 3 4 5; do
  ./run.sh >"$out" 2>&1
  echo "case $1, run $run: exit status $?, $(tail -n 1 "$out")"
done
TROUBLE=0 ./run.sh >"$out" 2>&1
echo "case $1, without the disruption: exit status $?, $(tail -n 1 "$out")"
rm -f "$out"
