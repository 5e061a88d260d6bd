package checker

// judgeMalformed finds commands that servers could not read: a router passes on what a client sent.
func judgeMalformed(h *history, add report) {
	for _, e := range h.malformed {
		add("form", e.At, "server %s was sent a command in a form that no client sends", e.Server)
	}
}
