"""Documents: sections, checks and differences."""
