"""Tests of magnolialug.restarts."""
