"""Answers requests of users, operators and consoles from this controller's replica."""
