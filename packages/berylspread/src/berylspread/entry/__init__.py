"""What an entry node does for callers and operators, apart from HTTP.

``entry.service`` puts the operations together; it is imported by its name,
since the homes describe their jobs by this package's views.
"""
