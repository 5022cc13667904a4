"""Which service and software version began each resumable stream."""
