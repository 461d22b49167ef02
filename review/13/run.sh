#!/usr/bin/env bash
# Two hopeless jobs keep all minions idle. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0: no hopeless job comes.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 play.py
