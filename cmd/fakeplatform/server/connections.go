package server

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

type (
	// connections wraps a listener, so that all open connections can be frozen:
	// they go silent for good while new ones work.
	connections struct {
		net.Listener

		mutex sync.Mutex
		open  map[*connection]bool
	}

	connection struct {
		net.Conn
		owner  *connections
		frozen atomic.Bool
	}
)

func newConnections(listener net.Listener) *connections {
	return &connections{Listener: listener, open: map[*connection]bool{}}
}

// Accept implements net.Listener.
func (connections *connections) Accept() (net.Conn, error) {
	conn, err := connections.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &connection{Conn: conn, owner: connections}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.open[wrapped] = true
	return wrapped, nil
}

// freeze silences every open connection but the one that asks for it, and
// returns their number.
func (connections *connections) freeze(asking net.Conn) int {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	frozen := 0
	for conn := range connections.open {
		if net.Conn(conn) != asking {
			conn.frozen.Store(true)
			frozen++
		}
	}
	return frozen
}

func (connections *connections) closeAll() {
	connections.mutex.Lock()
	open := make([]*connection, 0, len(connections.open))
	for conn := range connections.open {
		open = append(open, conn)
	}
	connections.mutex.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// Read implements net.Conn.
func (conn *connection) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if err == nil && conn.frozen.Load() {
		return 0, conn.swallow()
	}
	return count, err
}

// Write implements net.Conn.
func (conn *connection) Write(buffer []byte) (int, error) {
	if conn.frozen.Load() {
		return 0, conn.swallow()
	}
	return conn.Conn.Write(buffer)
}

// Close implements net.Conn.
func (conn *connection) Close() error {
	conn.owner.mutex.Lock()
	delete(conn.owner.open, conn)
	conn.owner.mutex.Unlock()
	return conn.Conn.Close()
}

// swallow reads without answering until the peer closes the connection.
func (conn *connection) swallow() error {
	if _, err := io.Copy(io.Discard, conn.Conn); err != nil {
		return err
	}
	return io.EOF
}
