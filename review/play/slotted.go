package main

import (
	"fmt"
	"time"
)

// startSlottedServers starts cache servers that have every value and serve a few requests at a time.
func (s *scene) startSlottedServers(d *deployment, servers, slots int, work time.Duration) error {
	for i := range servers {
		name := fmt.Sprint("cache-", i+1)
		free := make(chan struct{}, slots)
		server, err := s.startCacheServer(name, func(c *cacheConn, cmd command) {
			free <- struct{}{}
			isAwaited := c.work(work)
			<-free
			if !isAwaited {
				s.note(name, "stopped   %s: its connection was closed", cmd.id)
				return
			}
			s.note(name, "ran       %s", cmd.id)
			c.write(hit(cmd.id))
		})
		if err != nil {
			return err
		}
		d.servers = append(d.servers, entry(fmt.Sprintf("s-0000000%d", i+1), server.addr, "std-4c"))
	}
	return nil
}

// siteClasses are the classes of the first site.
func siteClasses() []class {
	return []class{
		{"fetch", "repeatable", 600, 1200, 5000},
		{"publish", "by_key", 600, 1500, 3000},
		{"release-tag", "once", 600, 1200, 5000},
	}
}
