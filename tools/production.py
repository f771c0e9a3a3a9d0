"""Check the commit in production, from which an upgrade to this one begins.

It has to be an ancestor of this commit, and the folders that its build command copies
have to be in it. Where the history is missing, that is said and nothing is checked.
"""

from __future__ import annotations

import re
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPLOYMENT = "deploy/system.toml"
COPIED_FOLDER = re.compile(r"(libs/\w+/src)/\.")


def git(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run git in the workspace's root."""
    return subprocess.run(
        ("git", *arguments), cwd=ROOT, capture_output=True, text=True, check=False
    )


def find_faults(commit: str) -> list[str]:
    """Return why hosts could not be upgraded from a commit of the history."""
    if git("merge-base", "--is-ancestor", commit, "HEAD").returncode != 0:
        return [f"production {commit!r} is no ancestor of HEAD"]
    shown = git("show", f"{commit}:{DEPLOYMENT}")
    if shown.returncode != 0:
        return [f"production {commit!r} has no {DEPLOYMENT}"]
    folders = COPIED_FOLDER.findall(tomllib.loads(shown.stdout)["build"])
    missing = [
        folder
        for folder in folders
        if git("cat-file", "-e", f"{commit}:{folder}").returncode != 0
    ]
    return [f"production {commit!r} lacks {folder}" for folder in missing]


def main() -> None:
    """Print what is wrong; the exit code is 1 if anything is."""
    deployment = tomllib.loads((ROOT / DEPLOYMENT).read_text())
    commit = deployment.get("production")
    if not commit:
        sys.exit(f"{DEPLOYMENT} names no production commit")
    if git("cat-file", "-e", f"{commit}^{{commit}}").returncode != 0:
        print(f"the history lacks {commit}, so production is not checked")
        return
    if faults := find_faults(commit):
        sys.exit("\n".join(faults))


if __name__ == "__main__":
    main()
