#!/bin/bash
# A server crashes while the store is down, and is back under its id, cold.
exec bash "$(dirname "$0")/../play.sh" cold "$(cd "$(dirname "$0")" && pwd)"
