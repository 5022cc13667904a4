"""Tests of magnolialug.prefixcache."""
