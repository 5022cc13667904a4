"""HTTP connections to endpoints and to the platform's store."""
