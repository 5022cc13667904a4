"""Owners of endpoints: load ledgers and admission queues, and their clients."""
