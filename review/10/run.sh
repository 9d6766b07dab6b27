#!/bin/bash
exec "$(dirname "$0")/../world-2/run-case.sh" "$(dirname "$0")"
