package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Case 3, many commands at once: a client has sent many commands at once, the first of them for a
// large value that is given slowly, when the router is told to end.

const (
	pipelineCommands = 41
	pipelineDeadline = 900 // of the class's 1200 ms
	pipelineLead     = 300 * time.Millisecond
	pipelineWork     = 100 * time.Millisecond
	pipelineServers  = 2
	pipelineSlots    = 4
	largeKey         = "00000000000000bb"
	largeBytes       = 256 << 10
	largePieces      = 48
	largeTime        = 2250 * time.Millisecond
)

// pipelineServer is a cache server that has every value. It serves a few requests at a time.
type pipelineServer struct {
	scene *scene
	name  string
	slots chan struct{}
}

// answer serves a read.
func (s *pipelineServer) answer(c *cacheConn, cmd command) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	if !c.work(pipelineWork) {
		s.scene.note(s.name, "stopped   %s: its connection was closed", cmd.id)
		return
	}
	if cmd.key != largeKey {
		s.scene.note(s.name, "ran       %s", cmd.id)
		c.write(hit(cmd.id))
		return
	}
	s.scene.note(s.name, "ran       %s: gives %d bytes over %v", cmd.id, largeBytes, largeTime)
	c.write(fmt.Sprintf("VA %d O%s h1\r\n", largeBytes, cmd.id))
	piece := strings.Repeat(".", largeBytes/largePieces+1)
	begun := time.Now()
	for n, rest := 1, largeBytes; rest > 0; n, rest = n+1, rest-len(piece) {
		c.write(piece[:min(rest, len(piece))])
		if !c.work(time.Until(begun.Add(largeTime * time.Duration(n) / largePieces))) {
			s.scene.note(s.name, "cut off   %s with %d bytes to give", cmd.id, rest)
			return
		}
	}
	c.write("\r\n")
	s.scene.note(s.name, "gave all  %s", cmd.id)
}

// playPipelined restarts the router under a client that has sent many commands at once.
func playPipelined(s *scene) error {
	d := &deployment{classes: siteClasses()}
	for i := range pipelineServers {
		own := &pipelineServer{scene: s, name: fmt.Sprint("cache-", i+1), slots: make(chan struct{}, pipelineSlots)}
		server, err := s.startCacheServer(own.name, own.answer)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, entry(fmt.Sprintf("s-0000000%d", i+1), server.addr, "std-4c"))
	}
	if err := s.startQuietOrigin(d); err != nil {
		return err
	}
	r, err := s.startRouter(d, "router")
	if err != nil {
		return err
	}
	c, err := dial(r.listen)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := s.sendPipelined(c); err != nil {
		return err
	}
	time.Sleep(pipelineLead)
	termAt := time.Now()
	if s.trouble {
		if err := r.terminate(); err != nil {
			return err
		}
	}
	return s.readPipelined(c, termAt)
}

// sendPipelined sends the commands at once: one for the large value, and the others behind it.
func (s *scene) sendPipelined(c *client) error {
	var text strings.Builder
	for n := range pipelineCommands {
		key := largeKey
		if n > 0 {
			key = fmt.Sprintf("%016x", 0x9b1f03aa5c7e2d41*uint64(n))
		}
		text.WriteString(readCommand(key, fmt.Sprintf("%02d", n), "fetch", pipelineDeadline))
	}
	s.note("client", "sends %d commands, %d bytes, at once", pipelineCommands, text.Len())
	_, err := io.WriteString(c, text.String())
	return err
}

// readPipelined reads the answers in the order of the commands.
func (s *scene) readPipelined(c *client, termAt time.Time) error {
	for n := range pipelineCommands {
		a, err := c.readAnswer()
		if isTimeout(err) {
			return err
		}
		if err != nil {
			s.note("check", "the connection was ended %v after SIGTERM, with %d of %d answers: %v",
				time.Since(termAt).Round(time.Millisecond), n, pipelineCommands, err)
			return fmt.Errorf("%w: %d of %d requests, all sent %v before SIGTERM, were never answered",
				errBroken, pipelineCommands-n, pipelineCommands, pipelineLead)
		}
		s.note("client", "answer    %02d: %q", n, a.line)
	}
	s.note("check", "all %d requests were answered", pipelineCommands)
	return nil
}
