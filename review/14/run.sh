#!/usr/bin/env bash
# A job runs although its cancelling was acknowledged. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no machine freezes.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 play.py
