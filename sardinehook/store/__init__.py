"""The key-value service and VM list: ports, and adapters of the stand-in's HTTP."""
