"""Development tools that start fleets of real processes on loopback and measure them."""
