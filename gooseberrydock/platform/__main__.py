"""Command-line entry point of a node on the platform: ``python3 -m gooseberrydock.platform``."""

import signal


def run() -> None:
    """Run the command, and ignore reload signals until it handles them."""
    # The signal would end the process during the imports. The settings are read after them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from gooseberrydock.platform.command import main

    main()


if __name__ == "__main__":
    run()
