// Package relay simulates faults of the network between processes. It forwards
// TCP connections to their targets and can silence the open connections
// permanently while new ones work, as a middlebox does that has lost its state.
//
// Dropping packets in the kernel was rejected: it needs privileges that a test
// machine may not grant, and it can't silence single connections.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Faults of a route.
const (
	// FaultNone forwards all bytes. It does not restore silenced connections.
	FaultNone = "none"
	// FaultSilent stops forwarding on the connections that are open at the change
	// and keeps them open. Later connections work.
	FaultSilent = "silent"
	// FaultCut closes the open connections and refuses new ones.
	FaultCut = "cut"
	// FaultCorrupt changes one byte in a share of the forwarded buffers.
	FaultCorrupt = "corrupt"
	// FaultStall forwards nothing on any connection until the fault is cleared.
	FaultStall = "stall"
)

const (
	bufferBytes       = 64 << 10
	dialTimeout       = time.Second
	stallPollInterval = 20 * time.Millisecond
	// corruptShare is the share of buffers in which FaultCorrupt changes a byte.
	corruptShare = 0.05
)

type (
	// Route forwards connections from Listen to Target, both IP addresses with
	// ports. Name identifies the route in requests that change its fault.
	Route struct {
		Name   string `json:"name"`
		Listen string `json:"listen"`
		Target string `json:"target"`
	}

	// Network is a set of routes with their faults. It is safe for concurrent use.
	Network struct {
		routes map[string]*routeState
	}

	// routeState is a route with its fault and its open connections.
	routeState struct {
		route Route

		mutex   sync.Mutex
		fault   string
		relayed map[*relayedConn]bool
	}

	// relayedConn joins the connection of a client to one to the target.
	relayedConn struct {
		client, target net.Conn

		mutex  sync.Mutex
		silent bool
	}
)

// New returns a network of the routes without faults. It does not listen yet.
func New(routes []Route) *Network {
	network := &Network{routes: map[string]*routeState{}}
	for _, route := range routes {
		network.routes[route.Name] = &routeState{route: route, fault: FaultNone, relayed: map[*relayedConn]bool{}}
	}
	return network
}

// Run listens on every route until the context ends. It returns an error only if a
// listener can't be opened.
func (network *Network) Run(ctx context.Context) error {
	for _, route := range network.routes {
		listener, err := net.Listen("tcp", route.route.Listen)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", route.route.Name, err)
		}
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		go route.accept(ctx, listener)
	}
	<-ctx.Done()
	return nil
}

// SetFault changes the fault of a route. It returns an error if the route or the
// fault is unknown.
func (network *Network) SetFault(name, fault string) error {
	route, known := network.routes[name]
	if !known {
		return fmt.Errorf("unknown route %q", name)
	}
	switch fault {
	case FaultNone, FaultSilent, FaultCut, FaultStall, FaultCorrupt:
	default:
		return fmt.Errorf("unknown fault %q, allowed: %s, %s, %s, %s, %s", fault, FaultNone, FaultSilent, FaultCut, FaultStall, FaultCorrupt)
	}
	route.setFault(fault)
	return nil
}

// setFault applies the fault. FaultSilent affects only open connections, so it
// leaves the fault of the route as it is.
func (route *routeState) setFault(fault string) {
	route.mutex.Lock()
	defer route.mutex.Unlock()
	switch fault {
	case FaultSilent:
		for relayed := range route.relayed {
			relayed.silence()
		}
		return
	case FaultCut:
		for relayed := range route.relayed {
			relayed.close()
		}
	}
	route.fault = fault
}

func (route *routeState) currentFault() string {
	route.mutex.Lock()
	defer route.mutex.Unlock()
	return route.fault
}

func (route *routeState) accept(ctx context.Context, listener net.Listener) {
	for {
		client, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		if route.currentFault() == FaultCut {
			_ = client.Close()
			continue
		}
		go route.forward(ctx, client)
	}
}

func (route *routeState) forward(ctx context.Context, client net.Conn) {
	target, err := net.DialTimeout("tcp", route.route.Target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	relayed := &relayedConn{client: client, target: target}
	route.mutex.Lock()
	route.relayed[relayed] = true
	route.mutex.Unlock()
	stop := context.AfterFunc(ctx, relayed.close)
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { route.copy(relayed, target, client) })
	directions.Go(func() { route.copy(relayed, client, target) })
	directions.Wait()
	route.mutex.Lock()
	delete(route.relayed, relayed)
	route.mutex.Unlock()
	relayed.close()
}

// copy forwards bytes in one direction until the connection ends. Bytes that a
// silent connection receives are discarded, so that neither end sees a full buffer
// or a closed connection.
func (route *routeState) copy(relayed *relayedConn, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		for route.currentFault() == FaultStall {
			time.Sleep(stallPollInterval)
		}
		if count > 0 && route.currentFault() == FaultCorrupt && rand.Float64() < corruptShare {
			buffer[count-1] ^= 0xff
		}
		if count > 0 && !relayed.isSilent() {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				err = writeErr
			}
		}
		switch {
		case err == nil:
		case relayed.isSilent():
			return
		case errors.Is(err, io.EOF):
			closeWrite(to)
			return
		default:
			relayed.close()
			return
		}
	}
}

// closeWrite closes the sending direction of a connection and leaves the other open.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (relayed *relayedConn) silence() {
	relayed.mutex.Lock()
	defer relayed.mutex.Unlock()
	relayed.silent = true
}

func (relayed *relayedConn) isSilent() bool {
	relayed.mutex.Lock()
	defer relayed.mutex.Unlock()
	return relayed.silent
}

func (relayed *relayedConn) close() {
	_ = relayed.client.Close()
	_ = relayed.target.Close()
}
