#!/bin/sh
# Builds the stand-ins of the cases 11 to 14 into target/. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
GOWORK=off go -C review/rig build -o ../../target/ .
