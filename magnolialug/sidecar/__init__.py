"""The process beside each endpoint."""
