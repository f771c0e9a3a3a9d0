"""The software versions of streams: their record and their origins."""
