"""Poison requests, which crash endpoints, and their quarantine."""
