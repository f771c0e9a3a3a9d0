"""HTTP server and client on h11."""
