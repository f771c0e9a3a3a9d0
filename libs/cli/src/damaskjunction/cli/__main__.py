"""Entry point of ``python -m damaskjunction.cli``."""

from damaskjunction.cli.main import main

if __name__ == "__main__":
    main()
