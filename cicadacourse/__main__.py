"""Entry point of ``python -m cicadacourse``."""

import sys

from cicadacourse.cmd import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
