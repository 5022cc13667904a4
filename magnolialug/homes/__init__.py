"""Homes of endpoints: one gateway keeps the account of each."""
