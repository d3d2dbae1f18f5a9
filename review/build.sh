#!/bin/sh
# Prepares what the scripts of the cases start. The stand-ins are Python and
# need no compiler; this checks that they load with the deployed dependencies.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:platform:." python3 -c '
from clockworks import store_stand_in
from review.stand_ins import small_site
from standins import scripted_upstream
'
