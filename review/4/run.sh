#!/bin/bash
# Streams that began while the store is down are taken up after all gateways were killed.
exec bash "$(dirname "$0")/../play.sh" taken-up "$(cd "$(dirname "$0")" && pwd)"
