"""Shared parts of prompts that are kept in the platform's stores."""
