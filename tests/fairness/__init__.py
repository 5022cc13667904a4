"""Tests of magnolialug.fairness."""
