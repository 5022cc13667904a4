"""The pauses between the events of an answer, as its caller sees them."""
