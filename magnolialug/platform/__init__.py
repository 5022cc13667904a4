"""Narrow typed interfaces to the systems around this one."""
