"""What operators ask of a deployment, as functions."""
