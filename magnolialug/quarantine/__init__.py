"""Quarantine of poison requests, which crash endpoints."""
