#!/usr/bin/env bash
# The stand-ins of the cases are Python programs of the standard library: nothing to compile. Checks that the
# interpreter, which CI uses too, reads them.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - lib/*.py [0-9]*/*.py <<'END'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
END
echo "the stand-ins are ready"
