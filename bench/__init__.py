"""Development tools that run and measure fleets of real processes or simulated groups."""
