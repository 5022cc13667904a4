"""Where a request would go now, and why, without sending it."""
