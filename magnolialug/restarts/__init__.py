"""Which starts of endpoints have ended, as told between entries."""
