#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 9 start beside the balancer: all their stand-ins are Python scripts of the
# standard library, so there is only their syntax to check. The balancer comes from the deploy file's `build`.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/harness.py [6-9]/case.py <<'CHECK'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
[ -x ../target/release/pondlb-server ] || echo "the deploy file's build comes first: there is no target/release/pondlb-server" >&2
