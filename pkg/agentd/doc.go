// Package agentd assembles the agent daemon: packet path, announcement of the target, control session and requests.
package agentd
