"""Pure decision functions: state in, a typed decision with its reason out.

Nothing in this package does I/O, reads a clock or uses a global random source.
"""
