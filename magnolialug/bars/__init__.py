"""Requests under which endpoints end, and which go to no more of them."""
