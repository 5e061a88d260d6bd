package main

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

// repeatedUpgrade: a cache server is out by hand. The new process of an upgrade is killed, and the upgrade is done
// again. Without the disruption it is done once.
func repeatedUpgrade(s *scene) (isBroken bool, err error) {
	old, err := s.start()
	if err != nil {
		return false, err
	}
	s.store(theKey, 1000)
	banned := s.caches[0]
	if _, err := s.readSome("a"); err != nil {
		return false, err
	}
	code, err := old.call(http.MethodPut, "/-/cache-servers/"+banned.name+"/disable")
	s.log("operator: disable %s: %d, error %v", banned.name, code, err)
	if err != nil || code >= http.StatusMultipleChoices {
		return false, err
	}
	bannedAt := time.Now()
	if s.hasTrouble {
		first, err := s.startRouter()
		if err != nil {
			return false, err
		}
		s.pause(time.Second)
		s.signal(first, syscall.SIGKILL)
		<-first.done
		s.pause(time.Second)
	}
	if _, err := s.startRouter(); err != nil {
		return false, err
	}
	s.pause(time.Second)
	s.signal(old, syscall.SIGTERM)
	<-old.done
	s.pause(2 * time.Second)
	if _, err := s.readSome("b"); err != nil {
		return false, err
	}
	after := banned.lastRead().Sub(bannedAt)
	const grace = 2050 * time.Millisecond
	s.log("the last read at %s came %.3f s after the yes", banned.name, after.Seconds())
	return after > grace, nil
}

// readSome has clients read a few keys, which are misses, and returns the answers.
func (s *scene) readSome(prefix string) (answers []answer, err error) {
	for i := range 40 {
		c, err := s.connect(0)
		if err != nil {
			return nil, err
		}
		id := fmt.Sprintf("%s%d", prefix, i)
		_, err = io.WriteString(c, read(fmt.Sprintf("%016x", i), id))
		if err == nil {
			answers = append(answers, c.readAnswer())
			s.log("client %s: %v", id, answers[i])
		}
		c.Close()
	}
	return answers, nil
}
