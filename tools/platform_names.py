"""Check that only ``libs/platform`` uses the names of the platform's protocol.

``libs/standins`` may use them because it implements that protocol, and so may tests,
because they assert what goes over the wire.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAY_KNOW = ("libs/platform/", "libs/standins/")
NAMES = re.compile(
    r"PathPrefix|MaxAttempts|CompletionTargetMs|LatencyGoalMs|TimeoutMs|RetentionS\b"
    r"|HeartbeatMs|WarmupMs|KvCapacity|MaxConns|GapAimMs|CurrentRev|StaleOk"
    r"|x-not-run|x-response-stamp|x-expect-instance|x-token-usage|x-prompt-prefix"
    r"|x-deadline-ms|x-instance-id|x-wait-ms|retry_?after_ms"
    r"|damaskjunction/(objects|resolve|readiness|report|lots|items)",
    re.IGNORECASE,
)


def find_names() -> list[str]:
    """Return the location of each line that uses a name without being allowed to."""
    places = []
    for path in sorted(ROOT.glob("libs/*/src/**/*.py")):
        place = path.relative_to(ROOT).as_posix()
        if place.startswith(MAY_KNOW):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            found = NAMES.search(line)
            if found is not None:
                places.append(f"{place}:{number}: {found[0]}")
    return places


if __name__ == "__main__":
    found_places = find_names()
    print("\n".join(found_places))
    sys.exit(1 if found_places else 0)
