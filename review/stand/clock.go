package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

const (
	// clockStart is the first time of the simulated clock without the disruption, ms: that of the wire's example.
	clockStart = 8412.25
	// negativeStart is the first time with it.
	negativeStart = -5000
	// clockMillis is how long is simulated, and clockTick the time between two batches.
	clockMillis = 4000
	clockTick   = 5
	// maxOutstanding is the number of outstanding timers from which the simulator counts as flooded.
	maxOutstanding = 5_000_000
)

// simulator plays one quiet instance: a list of one cache server and the origin, and no request. It delivers timers.
type simulator struct {
	record *record
	in     *bufio.Writer
	out    *bufio.Reader
	now    float64
	// timers are the numbers of the outstanding timers, by when they are due and their context.
	timers map[simulatedTimer]int
	// set is the number of all timers so far, and outstanding that of those which are not due yet.
	set, outstanding int
}

// simulatedTimer is a timer of the instance.
type simulatedTimer struct {
	at      float64
	context string
}

// playClock plays four simulated seconds of an instance at rest, on a clock that begins below zero.
func playClock(w *world) (string, error) {
	command := exec.Command("/bin/sh", "-c", os.Getenv("SIM_LINE"))
	command.Stderr = os.Stderr
	in, err := command.StdinPipe()
	if err != nil {
		return "", err
	}
	out, err := command.StdoutPipe()
	if err != nil {
		return "", err
	}
	if err := command.Start(); err != nil {
		return "", err
	}
	defer func() {
		in.Close()
		command.Wait() //nolint:errcheck // it ends with its input
	}()
	s := &simulator{record: w.record, in: bufio.NewWriter(in), out: bufio.NewReader(out), now: clockStart}
	s.timers = map[simulatedTimer]int{}
	if w.trouble {
		s.now = negativeStart
	}
	return s.run()
}

func (s *simulator) run() (string, error) {
	settings, ok := config("n1", "", "", "", list{})["settings"]
	text, err := json.Marshal(settings)
	if err != nil || !ok {
		return "", errors.Join(err, errors.New("no settings"))
	}
	s.record.event("the clock begins at %.2f ms", s.now)
	open := "OPEN_INSTANCE 0 7 " + string(text) + "\nDIRECTORY_UPDATE 0 remembered 41 2\n" +
		"M - 1 51530247 ready adama 0 std-4c\nM - 1 99 ready adama 0 origin\n"
	if err := s.batch(func(in io.Writer) { io.WriteString(in, open) }); err != nil { //nolint:errcheck // see Flush
		return "", err
	}
	end := s.now + clockMillis
	for tick := 0; s.now < end; tick++ {
		s.now += clockTick
		if err := s.batch(s.fire); err != nil {
			return "", err
		}
		if tick%40 == 0 {
			s.record.event("clock %.2f: %d timers set so far, %d outstanding", s.now, s.set, s.outstanding)
		}
		if s.outstanding > maxOutstanding {
			return fmt.Sprintf("an instance at rest has %d timers outstanding after %d ticks", s.outstanding, tick), nil
		}
	}
	return "", nil
}

// fire delivers the timers that are due.
func (s *simulator) fire(in io.Writer) {
	for timer, n := range s.timers {
		if timer.at > s.now {
			continue
		}
		for range n {
			io.WriteString(in, "FIRED 0 "+timer.context+"\n") //nolint:errcheck // see Flush
		}
		delete(s.timers, timer)
		s.outstanding -= n
	}
}

// batch sends one batch and reads its reply.
func (s *simulator) batch(events func(io.Writer)) error {
	var sent error
	written := make(chan struct{})
	var due strings.Builder
	fmt.Fprintf(&due, "SYNC %.3f\n", s.now)
	events(&due)
	due.WriteString("COMMIT\n\n")
	go func() {
		defer close(written)
		s.in.WriteString(due.String()) //nolint:errcheck // see Flush
		sent = s.in.Flush()
	}()
	for {
		line, err := s.out.ReadString('\n')
		if err != nil {
			return err
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 1 && words[0] == "OK":
			<-written
			return sent
		case len(words) == 4 && words[0] == "ARM":
			s.arm(words[2], words[3])
		}
	}
}

// arm sets a timer.
func (s *simulator) arm(after, context string) {
	var millis float64
	fmt.Sscan(after, &millis) //nolint:errcheck // the adapter writes a number
	s.timers[simulatedTimer{s.now + millis, context}]++
	s.set++
	s.outstanding++
}
