#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/[4-8]/*.cc; do
  [ -e "$source" ] || continue
  folder=$(basename "$(dirname "$source")")
  mkdir -p "target/review-2/$folder"
  program=target/review-2/$folder/$(basename "$source" .cc)
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra "$source" -o "$program" -ljansson -lpthread
  echo "built $program"
done
