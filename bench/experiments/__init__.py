"""The experiments, one module for each subject."""
