// Package usage reads what running processes have used: processor time, memory
// and bytes.
//
// The kernel's own counts are read instead of metrics of the processes, so that
// nothing that a process does goes uncounted.
package usage

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	ticksPerSecond = 100
	kibibyte       = 1024
	// Positions of user and system time among the fields after the name in
	// /proc/PID/stat.
	userField   = 11
	systemField = 12
)

// Usage is what a process has used since its start. Bytes counts everything
// that it read and wrote, which for the system's processes are sockets and logs.
type Usage struct {
	CPUSeconds float64
	Bytes      int64
	ResidentKB int64
}

// Read returns the usage of a process by its id. It fails when the process has ended.
func Read(id int) (Usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(id))
	stat, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return Usage{}, fmt.Errorf("process %d has ended: %w", id, err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	ticks := number(fields[userField]) + number(fields[systemField])
	traffic, err := os.ReadFile(filepath.Join(directory, "io"))
	if err != nil {
		return Usage{}, fmt.Errorf("read traffic of process %d: %w", id, err)
	}
	status, err := os.ReadFile(filepath.Join(directory, "status"))
	if err != nil {
		return Usage{}, fmt.Errorf("read memory of process %d: %w", id, err)
	}
	return Usage{
		CPUSeconds: float64(ticks) / ticksPerSecond,
		Bytes:      value(traffic, "rchar:") + value(traffic, "wchar:"),
		ResidentKB: value(status, "VmRSS:"),
	}, nil
}

func value(text []byte, key string) int64 {
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, key); found {
			return number(strings.Fields(rest)[0])
		}
	}
	return 0
}

func number(text string) int64 {
	parsed, _ := strconv.ParseInt(text, 10, 64) // The kernel writes digits only.
	return parsed
}

// ReadPIDFile reads the id of a process from the file that a script has written.
func ReadPIDFile(path string) (int, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read process id: %w", err)
	}
	return strconv.Atoi(strings.TrimSpace(string(text)))
}

// ResidentMB returns the memory in MiB.
func (used Usage) ResidentMB() float64 {
	return float64(used.ResidentKB) / kibibyte
}

// FitLine returns the slope and the value at zero of the least-squares line through the
// points. A single x has no slope.
func FitLine(x, y []float64) (slope, atZero float64) {
	var meanX, meanY, covariance, variance float64
	count := float64(len(x))
	for i := range x {
		meanX += x[i] / count
		meanY += y[i] / count
	}
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	if variance > 0 {
		slope = covariance / variance
	}
	return slope, meanY - slope*meanX
}
