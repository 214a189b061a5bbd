"""The experiments of the benchmark suite, one module for each subject."""
