"""Free capacity of the machines that may take steps."""
