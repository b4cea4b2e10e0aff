#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python programs of the standard library: nothing to compile. Checks that the
# interpreter reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib-2/*.py [6-9]/*.py 10/*.py <<'END'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
echo "the stand-ins are ready"
