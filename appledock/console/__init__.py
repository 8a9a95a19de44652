"""The terminal console: a screen on the administration API, for slow links.

`rows` and `changes` are also used by controllers and import nothing that they do not have;
`screen` needs the libraries of requirements-console.txt.
"""
