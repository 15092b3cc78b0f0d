#!/bin/bash
# Builds the stand-ins and the programs of all cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -pthread)
for source in http deployment booking_clients; do
  g++ "${flags[@]}" -c "review/standin/$source.cc" -o "$out/$source.o"
done
for case in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" "$out"/{http,deployment,booking_clients}.o -o "$out/case-$number"
done
