package requests

import "net"

// agentConn is a connection that an agent opened, closed when the agent is killed.
type agentConn struct {
	net.Conn
	agent *agent
}

// Close also removes the connection from the agent's set.
func (c *agentConn) Close() error {
	c.agent.mu.Lock()
	delete(c.agent.conns, c)
	c.agent.mu.Unlock()
	return c.Conn.Close()
}
