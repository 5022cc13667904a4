"""The programs: flags, wiring, exit codes."""
