#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the project's programs: one program, which is all their stand-ins.
set -e
cd "$(dirname "$0")/casetool2"
mkdir -p bin
CGO_ENABLED=0 go build -o bin/casetool2 .
