#!/bin/sh
# Plays the case "hangup"; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/stage ] || { echo "build first: the line of deploy/system.toml, then review/build-2.sh"; exit 2; }
exec target/stage -case hangup -platform target/platform -record review/10/record.txt
