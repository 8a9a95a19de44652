"""Team quotas: what each team's jobs hold, and how its limit is allocated to controllers."""
