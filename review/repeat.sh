#!/bin/sh
# Runs a case five times with its disruption and once without, and prints the exit status of each run.
# Usage: review/repeat.sh N
cd "$(dirname "$0")/$1" || exit 2
for run in 1 2 3 4 5; do
  ./run.sh >"/tmp/review-$1-$run.out" 2>&1
  echo "case $1, run $run: exit status $?, $(tail -n 1 "/tmp/review-$1-$run.out")"
done
TROUBLE=0 ./run.sh >"/tmp/review-$1-0.out" 2>&1
echo "case $1, without the disruption: exit status $?, $(tail -n 1 "/tmp/review-$1-0.out")"
