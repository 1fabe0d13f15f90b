"""Run the command line."""

from chestnutshift.management.main import main

if __name__ == '__main__':
    main()
