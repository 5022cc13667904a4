"""Tests of magnolialug.eventgaps."""
