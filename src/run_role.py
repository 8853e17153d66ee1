"""Runs the role that the settings file of this machine names."""

from acaciaramp.cmd.role import main

if __name__ == '__main__':
    main()
