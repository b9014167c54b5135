"""The home of jobs: pending work, handing out, outcomes."""
