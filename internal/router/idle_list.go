package router

import "container/list"

// idleList holds the idle connections to all servers, the one idle for longest first. It has at most
// as many as the pool may open. Adding the one used last, removing one and finding the oldest cost the
// same whatever the number of servers and connections. Its owner guards it.
type idleList struct{ conns list.List }

// add adds a connection by its idleSince.
func (l *idleList) add(c *upstreamConn) {
	for e := l.conns.Back(); e != nil; e = e.Prev() {
		if !c.idleSince.Before(e.Value.(*upstreamConn).idleSince) {
			c.idleElement = l.conns.InsertAfter(c, e)
			return
		}
	}
	c.idleElement = l.conns.PushFront(c)
}

// remove removes a connection.
func (l *idleList) remove(c *upstreamConn) {
	l.conns.Remove(c.idleElement)
	c.idleElement = nil
}

// oldest returns the connection that has been idle for longest; nil without one.
func (l *idleList) oldest() *upstreamConn {
	if e := l.conns.Front(); e != nil {
		return e.Value.(*upstreamConn)
	}
	return nil
}

// all returns all connections.
func (l *idleList) all() (conns []*upstreamConn) {
	for e := l.conns.Front(); e != nil; e = e.Next() {
		conns = append(conns, e.Value.(*upstreamConn))
	}
	return conns
}
