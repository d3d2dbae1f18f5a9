#!/bin/sh
# Prepares what the scripts of the cases start. The stand-ins are Python and
# need no compiler; this checks that they load with the deployed dependencies.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:platform:." python3 -c '
from review import memory_limit
from review import small_site
from review import watch_cutter
'
