package standin

import (
	"fmt"
	"os"
)

// Host is the loopback address of this laboratory alone: 127.64.0.1 and up, by the process's id. Ports that it frees and binds
// again can't be taken by another laboratory on the machine, nor by outgoing connections, which come from 127.0.0.1.
func Host() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+id>>16&63, id>>8&255, id&255)
}
