#!/bin/bash
# Guards against refusing streams that callers resume, and against joining those
# of two versions, while replicas break streams off on new connections beside
# releases, outages of the store and faults of gateways; see tests/soak/broken.sh.
set -u
cd "$(dirname "$0")/../.."

SEED=50001
SECONDS_OF_RUN=20

tests/soak/soak.sh --broken-streams $SEED $SECONDS_OF_RUN
