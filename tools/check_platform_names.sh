#!/usr/bin/env bash
# Fails when a name of the platform's wire stands outside platform/, its tests, and the pages.
set -uo pipefail
cd "$(dirname "$0")/.."
names='X-Attempt-Id|X-Deadline-Ms|X-Tenant|X-Token-Usage|X-Prompt-Prefix|X-Length-Hint|X-Expect-Instance'
names+='|X-Request-Priority|X-Server-Stamp|X-Not-Executed|X-Kv-Backup|X-Pin-Ms|Kv-Fetch|Kv-From|"/cardamomstream/'
names+='|kv-range|kv-watch|"op/"|"servers/"|op/config|op/evacuate|HomeRegions|TrafficSplit|TargetLatencyMs|SeedAddrs|WarmupMs'
if git grep -nE "$names" -- include src standins tests ':!*.pb.*'; then
    echo "these names belong into platform/" >&2
    exit 1
fi
