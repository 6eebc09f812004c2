"""Small fakes of the systems and callers that monsoonwall talks to."""
