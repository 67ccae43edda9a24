#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../standins/run" "$here"
