package main

// The record of a case: what was sent, answered and run, with the time since its start.

import (
	"fmt"
	"os"
	"sync"
	"time"
)

type record struct {
	mutex sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// line writes one line.
func (written *record) line(format string, values ...any) {
	written.mutex.Lock()
	defer written.mutex.Unlock()
	fmt.Fprintf(written.file, "%8.3f s  %s\n", time.Since(written.began).Seconds(), fmt.Sprintf(format, values...))
}

// say writes one line to the record and to standard output.
func (written *record) say(format string, values ...any) {
	written.line(format, values...)
	fmt.Printf("%8.3f s  %s\n", time.Since(written.began).Seconds(), fmt.Sprintf(format, values...))
}
