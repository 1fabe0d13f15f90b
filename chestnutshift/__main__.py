"""Entry point of `python -m chestnutshift`."""

from chestnutshift.management.main import main

if __name__ == '__main__':
    main()
