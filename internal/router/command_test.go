package router

import (
	"bufio"
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

func TestMalformedCommandIsRejected(t *testing.T) {
	r, _ := startReadyRouter(t, cacheEntry("s-0000000b", startFakeServer(t, hitAnswer).addr),
		originEntry(startFakeServer(t, originAnswer).addr))
	for _, in := range []string{
		"\r\n",
		"mg\r\n",
		"mg k v\r\n",
		"mg k v Oa1 Pc=read,d=x\r\n",
		"mg k v Oa1 Pc=read,d=-1\r\n",
		"mg k v Oa1 Pc=read,d=NaN\r\n",
		"mg k v Oa1\r\n",
		"ms k\r\n",
		"ms k -3 Oa1 Pc=put,d=9\r\n",
		"ms k 70000 Oa1 Pc=put,d=9\r\n",
		"ms k 2 Oa1 Pc=put,d=9\r\nabcdef\r\n",
		"mg k v Oa1 Pc=unheard,d=9\r\n",
		"mg k v Oa1 Pc=read,d=0x10\r\n",
		"mg k v Oa1 Pc=read,d=1e3\r\n",
		"mg k v Oa1 Pc=read,d=+9\r\n",
		"mg k v Oa1 Pc=read,d=9,d=8\r\n",
		"mg k v Oa1 Ob2 Pc=read,d=9\r\n",
		"mg k Oa1 Pc=read,d=9\r\n",
		"mg k v Pc=read,d=9\r\n",
		"mg k v Oa1 Pc=read,d=9 Q\r\n",
		"mg k v Oa1 Pc=read,d=9\n",
		"mg k v Oa1 Pc=read,d=9,r=yes\r\n",
		"mg k v O Pc=read,d=9\r\n",
		"ms k 62914560 Oa1 Pc=put,d=9,k=1\r\n",
		"ms k 2 Oa1 Pc=put,d=9\r\nab\r\n",
		"ms k 0x2 Oa1 Pc=put,d=9,k=1\r\nab\r\n",
		"mg " + strings.Repeat("k", 300) + " v Oa1 Pc=read,d=9\r\n",
		"mg k\x00 v Oa1 Pc=read,d=9\r\n",
		strings.Repeat("x", 5000),
	} {
		c := dialClient(t, r.addr)
		c.send(readCommandOf("ok", 2000) + "\r\n" + in)
		if got := c.nextAnswer(); got != "VA 5 Ook hello" {
			t.Errorf("before %.20q: got %q", in, got)
		}
		if got := c.nextAnswer(); !strings.HasPrefix(got, "CLIENT_ERROR ") {
			t.Errorf("%.20q: got %q", in, got)
		}
		if got := c.nextAnswer(); got != "EOF" {
			t.Errorf("%.20q: after the error: got %q", in, got)
		}
	}
}

func TestIDsMatchSimulatorProtocol(t *testing.T) {
	if got := serverID("s-5be2a07c"); got != 0x5be2a07c {
		t.Errorf("server %#x", got)
	}
	if got := keyID("7f3a9c21e0b4d655"); got != 0x7f3a9c21e0b4d655 {
		t.Errorf("key %#x", got)
	}
	if serverID("cache-east") == serverID("cache-west") || keyID("a") == keyID("b") {
		t.Error("different names have the same id")
	}
}

func TestReadCommandParsesAllFields(t *testing.T) {
	in := "ms 7f3a9c21e0b4d655 3 Oa1 Pc=put,t=acme,d=480.5,k=7,r=1,h=52000,size=3,zz=1\r\nabc\r\n"
	r := bufio.NewReaderSize(strings.NewReader(in), maxLineBytes)
	got, err := readCommand(r)
	if err == nil {
		got.value, err = readValue(r, got.valueBytes, false)
	}
	want := command{verb: "ms", headBytes: 75, valueBytes: 3, idempotencyKey: "7", key: "7f3a9c21e0b4d655", id: "a1",
		metadata: "c=put,t=acme,d=480.5,k=7,r=1,h=52000,size=3,zz=1",
		value:    []byte("abc"), class: "put", tenant: "acme", remainingMillis: 480.5,
		workHintMillis: 52, // h is in microseconds
		sizeBytes:      3, isRetry: true}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
}

func FuzzReadCommand(f *testing.F) {
	f.Add([]byte(readCommandOf("a1", 480) + "\r\n"))
	f.Add([]byte(billCommandOf("a1", 480) + "\r\n"))
	f.Add([]byte("ms k 99999999999999999999 O P\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		read := func(in []byte) (command, error) {
			r := bufio.NewReaderSize(bytes.NewReader(in), 2*maxLineBytes)
			c, err := readCommand(r)
			if err == nil && c.verb == "ms" {
				c.value, err = readValue(r, c.valueBytes, false)
			}
			return c, err
		}
		c, err := read(in)
		if err != nil || c.verb != "mg" && c.verb != "ms" {
			return
		}
		again, err := read(c.append(nil, hintFor(c.remainingMillis)))
		if err != nil || again.key != c.key || again.id != c.id || !bytes.Equal(again.value, c.value) {
			t.Errorf("%q was encoded and parsed as %+v, %v", in, again, err)
		}
	})
}

func FuzzReadReply(f *testing.F) {
	for _, s := range []string{"VA 5 Oa1 h1 Lqps=1,util=x\r\nhello\r\n", "EN Oa1 h0 Z\r\n", "SERVER_ERROR busy\r\n",
		"HD Oa1 c7\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"} {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, in []byte, write bool) {
		c := &command{verb: "mg", id: "a1"}
		if write {
			c.verb = "ms"
		}
		for _, parse := range []answerReader{readReply, readOriginReply} {
			budgets := new(answerBudgets) // without memory for values of unknown length
			budgets.buffered.limit.Store(maxBufferedValue)
			memory := budgets.newAnswer()
			a, err := parse(bufio.NewReaderSize(bytes.NewReader(in), maxLineBytes), c, memory)
			size := len(a.body)
			for _, part := range a.rest {
				size += len(part)
			}
			if err == nil && (size > maxBufferedValue || size != memory.bufferedBytes) {
				t.Errorf("%d bytes of %q, %d reserved", size, in, memory.bufferedBytes)
			}
			memory.release()
			if used := budgets.buffered.used.Load(); used != 0 {
				t.Errorf("%d bytes are still reserved", used)
			}
		}
	})
}

// Guards against commands that are never answered because an earlier one of their connection is not
// allowed by the settings, as after a reload that has dropped its class: its connection was closed,
// and what had been received behind it was dropped.
func TestCommandsBehindOneThatSettingsForbidAreAnswered(t *testing.T) {
	large := strings.Repeat("v", maxBufferedValue+1)
	for name, forbidden := range map[string]string{
		"read of unknown class":        "mg k v Oa1 Pc=unheard,d=9\r\n",
		"write of unknown class":       "ms k 2 Oa1 Pc=unheard,d=9\r\nab\r\n",
		"large write of unknown class": fmt.Sprintf("ms k %d Oa1 Pc=unheard,d=9\r\n%s\r\n", len(large), large),
		"write without its key":        "ms k 2 Oa1 Pc=put,d=9\r\nab\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startFakeServer(t, hitAnswer)
			_, _, addr := startLoopAndClients(t, 192, 40, cacheEntry("s-0000000b", s.addr), originEntry(s.addr))
			c := dialClient(t, addr)
			c.send(forbidden + readCommandOf("ok", 2000) + "\r\n")
			if got := c.nextAnswer(); !strings.HasPrefix(got, "CLIENT_ERROR ") {
				t.Errorf("got %q", got)
			}
			if got := c.nextAnswer(); got != "VA 5 Ook hello" {
				t.Errorf("behind it: got %q", got)
			}
		})
	}
}
