"""Health of workers: failure rates, quarantine and probes."""
