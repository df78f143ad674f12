"""What the production version stores and sends, recorded on its commit, for tests of a rolling upgrade."""
