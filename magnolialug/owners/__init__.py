"""Load ledgers and admission queues of endpoints, and their clients."""
