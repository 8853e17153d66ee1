"""Files that last: checksummed records, synced before they count."""
