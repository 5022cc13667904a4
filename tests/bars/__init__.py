"""Tests of magnolialug.bars."""
