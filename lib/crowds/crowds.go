// Package crowds helps tests of processes that meet clients which do not behave. Only tests
// import it.
//
// A crowd is many clients that all send the same form to one listener of a process, as the
// system's own programs run it. What is checked does not depend on the speed of the machine:
// the process lives, stays within the memory and the descriptors of its machine, and answers
// an ordinary caller, who repeats a request that was refused or lost, both during the crowd
// and after it.
package crowds

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// MemoryBytes is the memory of the smallest hosts of entries, those of the grown
	// deployments.
	MemoryBytes = 184_000_000
	// RuntimeMemory is the setting that lib/memory makes of it.
	RuntimeMemory = "GOMEMLIMIT=138000000"
	// MaxDescriptors is the limit of the process, lowered to suit a small crowd. Of these, 200
	// are for files, as on the hosts.
	MaxDescriptors  = 1200
	fileDescriptors = 200
	// crowdTime is how long a crowd stays.
	crowdTime = 2 * time.Second
	// answerTimeout is when an ordinary caller gives up.
	answerTimeout = time.Minute
	askPause      = 100 * time.Millisecond
	// sampleInterval is the pause between two looks at the process.
	sampleInterval = 5 * time.Millisecond
	// stateListening is a listener in the kernel's table of sockets.
	stateListening = "0A"
	reconnectPause = 50 * time.Millisecond
	// receiveBytes is the receive buffer of clients that do not read.
	receiveBytes = 4 << 10
	writeBytes   = 64 << 10
)

type (
	// Subject is the process that meets crowds. PID returns its id, and HasEnded whether it
	// has ended by itself. Restart starts it again after that. Ask sends one ordinary request
	// to it and returns an error unless it is answered.
	Subject struct {
		PID      func() int
		HasEnded func() bool
		Restart  func()
		Ask      func() error
	}

	// peak is the most that a process had. Bytes that have come and that it has not read
	// count as its memory, as on the platform. isOver is set if it was ended since its memory
	// exceeded that of its machine.
	peak struct {
		memoryBytes, unreadBytes int64
		descriptors              int
		isOver                   bool
	}

	// client is one client of a crowd.
	client struct {
		form  Form
		text  []byte
		piece []byte
		endAt time.Time
	}
)

// Limited returns a command line that runs the program with the limit of descriptors.
func Limited(program string, arguments ...string) []string {
	return append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, MaxDescriptors), program}, arguments...)
}

// Check sends each of the crowds to the target, one after the other, and fails the test if
// the process ends, exceeds its memory or descriptors, or does not answer an ordinary caller.
func (subject Subject) Check(t *testing.T, target Target, forms []Form) {
	for _, form := range forms {
		t.Run(form.Name, func(t *testing.T) { subject.check(t, target, form) })
	}
}

func (subject Subject) check(t *testing.T, target Target, form Form) {
	if subject.HasEnded() {
		subject.Restart()
	}
	if err := subject.awaitAnswer(); err != nil {
		t.Fatalf("before the crowd: %v", err)
	}
	stopWatch := watch(subject.PID(), target.Address)
	disperse := gather(target, form)
	during := subject.awaitAnswer()
	disperse()
	after := subject.awaitAnswer()
	peak := stopWatch()
	t.Logf("%d MB, of these %d MB not read yet, %d descriptors", peak.memoryBytes/1_000_000, peak.unreadBytes/1_000_000, peak.descriptors)
	switch {
	case peak.isOver:
		t.Errorf("the process took %d MB of %d", peak.memoryBytes/1_000_000, MemoryBytes/1_000_000)
		return
	case subject.HasEnded():
		t.Error("the process has ended by itself")
		return
	case during != nil:
		t.Errorf("during the crowd: %v", during)
	}
	if after != nil {
		t.Errorf("after the crowd: %v", after)
	}
	if peak.descriptors > MaxDescriptors-fileDescriptors {
		t.Errorf("the process had %d descriptors of %d for sockets", peak.descriptors, MaxDescriptors-fileDescriptors)
	}
}

// awaitAnswer sends an ordinary request until it is answered, and returns the last error if
// none is.
func (subject Subject) awaitAnswer() error {
	for giveUpAt := time.Now().Add(answerTimeout); ; time.Sleep(askPause) {
		err := subject.Ask()
		if err == nil || subject.HasEnded() || time.Now().After(giveUpAt) {
			return err
		}
	}
}

// gather starts the clients of a crowd. The returned function waits until the crowd has
// stayed for crowdTime and all its clients have left.
func gather(target Target, form Form) (disperse func()) {
	var group sync.WaitGroup
	filler := []byte(form.Filler)
	for len(filler) > 0 && len(filler) < writeBytes {
		filler = append(filler, form.Filler...)
	}
	endAt := time.Now().Add(crowdTime)
	for range form.Clients {
		client := client{form: form, text: []byte(form.Text), piece: filler, endAt: endAt}
		group.Go(func() {
			for time.Now().Before(endAt) {
				client.run(target)
				time.Sleep(reconnectPause)
			}
		})
	}
	return group.Wait
}

// run sends the form over a new connection, and returns when that is closed or the crowd
// disperses.
func (client *client) run(target Target) {
	dialer := net.Dialer{Deadline: client.endAt, Control: client.control}
	conn, err := dialer.Dial("tcp", target.Address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(client.endAt)
	if target.IsSecured && !client.form.isRaw {
		conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true}) // The certificate does not matter here.
	}
	if client.send(conn) != nil {
		return
	}
	if client.form.isUnread {
		time.Sleep(time.Until(client.endAt))
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// control makes the receive buffer small if the client does not read.
func (client *client) control(_, _ string, conn syscall.RawConn) (err error) {
	if !client.form.isUnread {
		return nil
	}
	controlErr := conn.Control(func(descriptor uintptr) {
		err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	})
	return errors.Join(err, controlErr)
}

func (client *client) send(conn net.Conn) error {
	if _, err := conn.Write(client.text); err != nil {
		return err
	}
	position := 0
	for left := client.form.Length; left != 0; {
		piece := client.piece[position:]
		if client.form.isPaced {
			piece = piece[:min(len(piece), pieceBytes)]
		}
		if left > 0 {
			piece = piece[:min(len(piece), left)]
			left -= len(piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return err
		}
		position = (position + len(piece)) % len(client.piece)
		if client.form.isPaced {
			time.Sleep(piecePause)
		}
	}
	_, err := io.WriteString(conn, client.form.Tail)
	return err
}

// watch looks at a process until the returned function is called, and ends it if it exceeds
// the memory of its machine.
func watch(pid int, address string) (stop func() peak) {
	done, result := make(chan struct{}), make(chan peak)
	go func() {
		for largest := (peak{}); ; {
			largest = largest.with(residentBytes(pid), unreadBytes(address), countDescriptors(pid))
			if largest.memoryBytes > MemoryBytes && !largest.isOver {
				largest.isOver = true
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
			select {
			case <-done:
				result <- largest
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() peak {
		close(done)
		return <-result
	}
}

func (largest peak) with(residentBytes, unreadBytes int64, descriptors int) peak {
	largest.memoryBytes = max(largest.memoryBytes, residentBytes+unreadBytes)
	largest.unreadBytes = max(largest.unreadBytes, unreadBytes)
	largest.descriptors = max(largest.descriptors, descriptors)
	return largest
}

// residentBytes returns the memory that the process has now, zero if it has ended.
func residentBytes(pid int) int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kilobytes, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	count, _ := strconv.ParseInt(kilobytes, 10, 64)
	return count << 10
}

// unreadBytes returns how many bytes have come over the connections of the listener that were
// not read yet.
func unreadBytes(address string) (sum int64) {
	table, _ := os.ReadFile("/proc/net/tcp")
	local := encodeAddress(address)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == stateListening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		count, _ := strconv.ParseInt(received, 16, 64)
		sum += count
	}
	return sum
}

// encodeAddress returns an address as the kernel writes it: in hexadecimal digits, the IP
// address from its last byte.
func encodeAddress(address string) string {
	parsed := netip.MustParseAddrPort(address)
	ip := parsed.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], parsed.Port())
}

// countDescriptors returns how many descriptors the process has open, zero if it has ended.
func countDescriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}
