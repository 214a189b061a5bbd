"""A randomized soak: real gateways as processes, faults injected from outside."""
