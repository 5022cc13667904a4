"""A folder of small TOML files, checked and merged into one deployment."""
