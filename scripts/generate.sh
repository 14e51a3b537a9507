#!/usr/bin/env bash
# Regenerates io/peer/peerpb from proto/. Needs protoc on the PATH; an ordinary build does not.
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$tools:$PATH" protoc -I proto \
  --go_out=. --go_opt=module=cicadavalve --go_opt=default_api_level=API_OPAQUE \
  --connect-go_out=. --connect-go_opt=module=cicadavalve \
  proto/*.proto
