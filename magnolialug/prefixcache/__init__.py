"""KV cache of shared prompt parts in the platform's stores."""
