package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// banKeys is the number of keys that are read in a round, by as many requests.
	banKeys = 60
	// banGrace is how long after the yes the server may still get requests: the settings' grace for drains, and 1 s.
	banGrace = 3 * time.Second
	// endWait is how long a router may take to end after SIGTERM.
	endWait = 4 * time.Second
)

// playBan has an operator leave a cache server out, and starts a new version of the router, which is killed once it is
// ready. The old process serves on. The new version is started again, and the old process is told to end. The server
// has to stay out.
func playBan(w *world) (string, error) {
	banned := w.caches[0]
	if err := w.readAll("before"); err != nil {
		return "", err
	}
	if w.runs.since(banned.name, time.Time{}) == 0 {
		return "", errors.New("the server gets no requests before it is left out")
	}
	if err := w.leaveOut(banned.name); err != nil {
		return "", err
	}
	from := time.Now().Add(banGrace)
	old := w.router
	next, err := w.startRouter(old.listen)
	if err != nil {
		return "", err
	}
	if w.trouble {
		w.record.event("the new process is killed")
		next.kill()
		if next, err = w.startRouter(old.listen); err != nil {
			return "", err
		}
	}
	w.record.event("SIGTERM to the old process")
	old.command.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it runs
	select {
	case <-old.ended:
	case <-time.After(endWait):
		return "", errors.New("the old process does not end")
	}
	w.router = next
	time.Sleep(time.Until(from))
	if err := w.readAll("after"); err != nil {
		return "", err
	}
	if n := w.runs.since(banned.name, from); n > 0 {
		return fmt.Sprintf("%s got %d of %d requests while it is left out by hand", banned.name, n, banKeys), nil
	}
	return "", nil
}

// readAll reads all keys once, one after the other, and expects an answer to each.
func (w *world) readAll(round string) error {
	c, err := dialClient(w.record, round, w.router.listen)
	if err != nil {
		return err
	}
	defer c.conn.Close()
	for i := range banKeys {
		key, id := fmt.Sprintf("%016x", i), fmt.Sprintf("%s%d", round, i)
		if err := c.send(get(key, id, "fetch", 1100)); err != nil {
			return err
		}
		c.conn.SetReadDeadline(time.Now().Add(answerWait)) //nolint:errcheck // it is open
		if _, err := c.read(); err != nil {
			return err
		}
	}
	return nil
}

// leaveOut has an operator leave a cache server out.
func (w *world) leaveOut(id string) error {
	path := "http://" + w.router.admin + "/-/cache-servers/" + id + "/disable"
	call, err := http.NewRequest(http.MethodPut, path, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(call)
	if err != nil {
		return err
	}
	resp.Body.Close()
	w.record.event("PUT %s: %s", path, resp.Status)
	if resp.StatusCode/100 != 2 {
		return errors.New(resp.Status)
	}
	return nil
}
