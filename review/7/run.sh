#!/bin/sh
# Play the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec python3 -B review/7/play.py
