package server

// A middlebox that loses its state leaves connections that look open but pass no
// bytes. This file reproduces that fault for the connections of the server.

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

type (
	// connections wraps a listener and keeps the set of its open connections, so
	// that they can be frozen: they stay silent until they are closed, while new
	// connections work.
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

// freeze silences every open connection except that of the caller, which waits
// for the response. It returns the number of silenced connections.
func (connections *connections) freeze(caller net.Conn) int {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	frozen := 0
	for conn := range connections.open {
		if net.Conn(conn) != caller {
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

// Read implements net.Conn. On a frozen connection it blocks until the peer closes
// the connection.
func (conn *connection) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if err == nil && conn.frozen.Load() {
		return 0, conn.discard()
	}
	return count, err
}

// Write implements net.Conn. On a frozen connection it blocks until the peer closes
// the connection.
func (conn *connection) Write(buffer []byte) (int, error) {
	if conn.frozen.Load() {
		return 0, conn.discard()
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

// discard reads and discards bytes until the peer closes the connection. It
// returns an error in any case.
func (conn *connection) discard() error {
	if _, err := io.Copy(io.Discard, conn.Conn); err != nil {
		return err
	}
	return io.EOF
}
