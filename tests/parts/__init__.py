"""Tests of magnolialug.parts."""
