package requests

import "net"

// agentConn is a connection that an agent opened.
type agentConn struct {
	net.Conn
	agent *agent
}

// Close also forgets the connection.
func (c *agentConn) Close() error {
	c.agent.mu.Lock()
	delete(c.agent.conns, c)
	c.agent.mu.Unlock()
	return c.Conn.Close()
}
