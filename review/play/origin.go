package main

import (
	"bufio"
	"net"
	"net/http"
)

// startOrigin starts an origin. answer gets each request, in the order of its connection; probes are
// answered by the origin itself. It adds discovery and the origin to the deployment.
func (s *scene) startOrigin(d *deployment, answer func(c net.Conn, r *http.Request)) error {
	addr, err := s.listen(func(c net.Conn) {
		for input := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(input)
			if err != nil {
				return
			}
			if r.URL.Path == "/load" || r.URL.Path == "/healthz" {
				c.Write([]byte("HTTP/1.1 200 OK\r\nX-Backend-Load: qps=5,util=0.2,x0=0\r\nContent-Length: 0\r\n\r\n"))
				continue
			}
			answer(c, r)
		}
	})
	if err != nil {
		return err
	}
	d.servers = append(d.servers, entry("s-00000063", addr, originKind))
	if d.discovery, err = s.startDiscovery(d.servers); err != nil {
		return err
	}
	d.listen, err = freeAddr()
	return err
}

// startQuietOrigin starts an origin that the case does not need: it has no value.
func (s *scene) startQuietOrigin(d *deployment) error {
	return s.startOrigin(d, func(c net.Conn, r *http.Request) {
		s.note("origin", "ran       %s", r.Header.Get("X-Correlation-Id"))
		c.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"))
	})
}
