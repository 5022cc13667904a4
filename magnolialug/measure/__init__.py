"""The measuring tool: slopes of cost and the decisions under load."""
