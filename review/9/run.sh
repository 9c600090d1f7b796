#!/usr/bin/env bash
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
exec "$(dirname "$0")/../standin-3/play.sh" "$(dirname "$0")" take-up-named
