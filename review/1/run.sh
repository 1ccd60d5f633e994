#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" endless-answer "$(dirname "$0")"
