"""Parts shared by the cases of the review."""
