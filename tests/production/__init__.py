"""Records and messages of the production version, recorded on its commit, for tests of a rolling upgrade."""
