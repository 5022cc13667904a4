"""Tests of magnolialug.homes."""
