"""How the processes of one deployment find each other, and which of them dispatches."""
