#!/bin/bash
# Builds the stand-ins and cases 6 to 10 into target/review-2, after the build
# of the deploy file. They need g++ and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -pthread -Wall -Wextra -Wno-missing-field-initializers)
objects=()
for name in http deployment platform; do
  "${CXX:-g++}" "${flags[@]}" -c "review/standin-2/$name.cc" -o "$out/$name.o"
  objects+=("$out/$name.o")
done
for case in review/{6,7,8,9,10}/case.cc; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  "${CXX:-g++}" "${flags[@]}" "$case" "${objects[@]}" \
    -o "$out/case-$number"
done
