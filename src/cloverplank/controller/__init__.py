"""One controller process: composition, HTTP routing and background loops."""
