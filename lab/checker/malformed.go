package checker

// checkMalformed reports commands that servers could not parse. Clients send only well-formed commands,
// so the router must have corrupted them.
func checkMalformed(h *history, add reportFunc) {
	for _, e := range h.malformed {
		add("form", e.At, "server %s received a malformed command", e.Server)
	}
}
