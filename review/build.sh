#!/bin/sh
# Builds the stand-ins of the scripted cases into target/.
set -e
cd "$(dirname "$0")"
GOWORK=off go build -o ../target/ ./drill
