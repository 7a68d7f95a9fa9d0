#!/usr/bin/env bash
# Plays the case "wide"; TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-world" ] && [ -x "$root/target/amaranthd" ] || { echo "not built"; exit 2; }
exec env TROUBLE="${TROUBLE:-1}" "$root/target/review-world" --root "$root" --record "$here/record.txt" wide
