"""The terminal console: a client of the administration API that is made for slow links.

Controllers also use `rows` and `changes`, so these import only packages of requirements.txt;
`screen` needs the packages of requirements-console.txt.
"""
