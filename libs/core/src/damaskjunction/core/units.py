"""Units of size and time."""

from __future__ import annotations

from typing import Final

KIB: Final = 1024
MIB: Final = 1024 * KIB
NANOSECOND_S: Final = 1e-9
MILLISECOND_S: Final = 0.001
MINUTE_S: Final = 60.0
HOUR_S: Final = 3600.0
