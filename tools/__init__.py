"""Tools of the build; nothing here ships in the binary."""
