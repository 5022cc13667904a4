"""Typed messages over msgpack streams between this system's processes."""
