"""Stand-ins for the platform: log service, VM list and workers."""
