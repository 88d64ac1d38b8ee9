#!/bin/sh
# Stand-ins of the cases 6 to 10. They are plain Python of this repository (review/rig.py and
# platform/src/gentianpaddle_platform_standins) and use the standard library only, so nothing has to
# be built; this checks that they can be imported.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review:target/deps exec python3 -c "import rig"
