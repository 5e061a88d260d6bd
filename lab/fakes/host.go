package fakes

import (
	"fmt"
	"os"
)

// HostUse are the loopback addresses of this laboratory alone, by its process's id: ports that it frees and binds again can't be
// taken by another laboratory on the machine, nor by outgoing connections, which come from 127.0.0.1. What takes any free port
// has another address than what binds a certain one again.
type HostUse int

// The addresses.
const (
	AnyPort   HostUse = iota // relays and doors: a port is bound once
	Servers                  // stand-ins for servers, which die and come back at the same port
	Processes                // real processes, which bind what was found free
)

// LoopbackHost is the address for a use.
func LoopbackHost(use HostUse) string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64*(int(use)+1)+id>>16&63, id>>8&255, id&255)
}
