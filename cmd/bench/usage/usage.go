// Package usage reads the processor time, memory and traffic of running processes,
// and fits such figures by fleet size.
//
// It reads the kernel's counters instead of the processes' own metrics, because the
// kernel counts everything that a process does.
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
	// userTimeField and systemTimeField are positions among the fields that follow
	// the process name in /proc/PID/stat.
	userTimeField   = 11
	systemTimeField = 12
)

// Usage is what a process has used since its start. Bytes counts everything that
// it read and wrote, which is socket and log traffic for the system's processes.
// ResidentKB is its current resident memory in KiB.
type Usage struct {
	CPUSeconds float64
	Bytes      int64
	ResidentKB int64
}

// Read returns the usage of the process with the id. It fails if the process has ended.
func Read(id int) (Usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(id))
	stat, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return Usage{}, fmt.Errorf("process %d has ended: %w", id, err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	ticks := parseNumber(fields[userTimeField]) + parseNumber(fields[systemTimeField])
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
		Bytes:      procValue(traffic, "rchar:") + procValue(traffic, "wchar:"),
		ResidentKB: procValue(status, "VmRSS:"),
	}, nil
}

// procValue returns the number after the key in a /proc file, or 0 without the key.
func procValue(text []byte, key string) int64 {
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, key); found {
			return parseNumber(strings.Fields(rest)[0])
		}
	}
	return 0
}

func parseNumber(text string) int64 {
	parsed, _ := strconv.ParseInt(text, 10, 64) // The kernel writes only digits here.
	return parsed
}

// ReadPIDFile reads a process id from a file that the starting script has written.
func ReadPIDFile(path string) (int, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read process id: %w", err)
	}
	return strconv.Atoi(strings.TrimSpace(string(text)))
}

// ResidentMB returns the resident memory in MiB.
func (usage Usage) ResidentMB() float64 {
	return float64(usage.ResidentKB) / kibibyte
}

// FitLine fits a least-squares line through the points and returns its slope and its
// value at zero. The slope is 0 if all x are equal.
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
