"""Tests of magnolialug.owners."""
