"""A caller's session, whatever protocol it speaks."""
