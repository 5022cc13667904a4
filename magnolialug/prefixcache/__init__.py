"""KV cache of shared prompt parts, kept in the platform's stores."""
