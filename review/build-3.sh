#!/usr/bin/env bash
# Prepares the stand-ins of cases 11 to 15. They are Python files and need no
# compiler; this checks that they load with the Python of this machine.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
python3 -c '
import sys
sys.path.insert(0, "review/standins-3")
import platform_3
'
test -x target/bin/hemlockdeal-entry || {
    echo "build target/bin/hemlockdeal-entry first, as deploy/system.toml says"
    exit 1
}
echo "stand-ins of the third review are ready"
