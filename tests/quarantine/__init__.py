"""Tests of magnolialug.quarantine."""
