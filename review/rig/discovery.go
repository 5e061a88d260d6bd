package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// listEntry is a server on discovery's list.
type listEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// serverList is a list in discovery's form.
type serverList struct {
	Version int64       `json:"version"`
	Full    bool        `json:"full"`
	Servers []listEntry `json:"servers"`
}

// discovery is a sound discovery whose list does not change.
type discovery struct {
	listener net.Listener
	servers  []listEntry
}

// listVersion is the version of the list.
const listVersion = 41

func startDiscovery(servers []listEntry) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: listener, servers: servers}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", d.answer)
	go http.Serve(listener, mux) //nolint:errcheck // it ends with this process
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

func (d *discovery) list() serverList { return serverList{listVersion, true, d.servers} }

// answer answers a call for the list at once, and a watch at the end of its wait.
func (d *discovery) answer(w http.ResponseWriter, r *http.Request) {
	list := d.list()
	if r.URL.Query().Get("after") == strconv.Itoa(listVersion) {
		list = serverList{Version: listVersion, Servers: []listEntry{}}
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	json.NewEncoder(w).Encode(list) //nolint:errcheck // the caller has gone
}
