"""Small stand-ins for the platform, for tests, the demo and a laptop."""
