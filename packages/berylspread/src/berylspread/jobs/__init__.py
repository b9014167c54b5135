"""The home of jobs: pending tasks, hand-outs to partitions, outcomes."""
