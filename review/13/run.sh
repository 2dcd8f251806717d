#!/bin/sh
# Plays the case on loopback. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/rig sizeless target/platform review/13/record.txt
