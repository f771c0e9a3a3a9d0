"""Check that only ``libs/platform`` uses the names of the platform's protocol.

``libs/standins`` may use them because it implements that protocol, and so may tests,
because they assert what goes over the wire.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ALLOWED_FOLDERS = ("libs/platform/", "libs/standins/")
PLATFORM_NAMES = re.compile(
    r"PathPrefix|MaxAttempts|CompletionTargetMs|LatencyGoalMs|TimeoutMs|RetentionS\b"
    r"|HeartbeatMs|WarmupMs|KvCapacity|MaxConns|GapAimMs|CurrentRev|StaleOk"
    r"|x-not-run|x-response-stamp|x-expect-instance|x-token-usage|x-prompt-prefix"
    r"|x-deadline-ms|x-instance-id|x-wait-ms|retry_?after_ms"
    r"|damaskjunction/(objects|resolve|readiness|report|lots|items)",
    re.IGNORECASE,
)


def find_platform_names() -> list[str]:
    """Return the location of each line that uses a name without being allowed to."""
    locations = []
    for path in sorted(ROOT.glob("libs/*/src/**/*.py")):
        relative_path = path.relative_to(ROOT).as_posix()
        if relative_path.startswith(ALLOWED_FOLDERS):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            match = PLATFORM_NAMES.search(line)
            if match is not None:
                locations.append(f"{relative_path}:{number}: {match[0]}")
    return locations


if __name__ == "__main__":
    violations = find_platform_names()
    print("\n".join(violations))
    sys.exit(1 if violations else 0)
