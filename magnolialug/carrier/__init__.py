"""HTTP client: connections to endpoints and to the platform's store."""
