#!/bin/sh
# Builds the stand-ins of the second review into target/. It needs no network.
cd "$(dirname "$0")/.." || exit 2
GOWORK=off go -C review/stage build -o ../../target/ .
