#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: one program a case.
set -euo pipefail
cd "$(dirname "$0")"
for case in [0-9]/case.cc; do
  folder=$(dirname "$case")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Istandins -o "$folder/case.bin" "$case" standins/harness.cc
done
