#!/bin/bash
# A part of a prompt crashes each server that begins to write an answer on it.
exec bash "$(dirname "$0")/../play.sh" first-event "$(cd "$(dirname "$0")" && pwd)"
