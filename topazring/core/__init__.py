"""Decision logic of the proxy, as functions without I/O."""
