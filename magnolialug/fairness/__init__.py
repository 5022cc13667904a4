"""Waits for engine memory, counted over all entries."""
