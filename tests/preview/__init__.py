"""Tests of previews."""
