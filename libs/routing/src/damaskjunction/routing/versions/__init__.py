"""Software versions of the runners that serve a stream."""
