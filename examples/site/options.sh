#!/usr/bin/env bash
# Options of an entry VM on the users' platform, with their defaults. The platform's settings are read from the file of -c; their
# limits.memory_mb bounds the memory of all calls together (docs/design/memory.md).
options=(
  # The next 64 kB of a request's body, or the rest of it, must arrive in this time.
  --body-timeout 10s
  # A caller must take the next 32 kB of a response in this time.
  --send-timeout 10s
  # So much of each response waits for a caller that does not read, in bytes.
  --queue-bytes 1048576
)
exec radishramp site "${options[@]}" "$@"
