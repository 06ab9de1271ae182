#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. Case 9 starts none: it needs only
# the daemon, which the build of the deploy file makes, and curl.
exit 0
