package fake

// Soak tests kill engines and have to know afterwards what the engines executed.
// Each execution is therefore also written to a file before it starts.

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

type (
	// journal appends each execution to a file without buffering, so that the record
	// of a killed engine is complete. The zero journal writes nothing.
	journal struct {
		file *os.File
	}

	// journalLine is one execution, or a version that the engine starts to serve.
	journalLine struct {
		ID         string    `json:"id"`
		Kind       string    `json:"kind"`
		Version    string    `json:"version"`
		ResumeFrom int       `json:"resume_from,omitempty"`
		At         time.Time `json:"at"`
	}
)

// kindServed is the kind of the line of a version that an engine starts to serve.
// The id of such a line is the id of the order.
const kindServed = "served"

// openJournal opens the file for appending. An empty path returns the zero journal.
func openJournal(path string) (journal, error) {
	if path == "" {
		return journal{}, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return journal{}, fmt.Errorf("open journal: %w", err)
	}
	return journal{file: file}, nil
}

// write appends a line with a single system call, so that the lines of several
// engines in a process do not interleave. Errors are ignored.
func (journal journal) write(line journalLine) {
	if journal.file == nil {
		return
	}
	encoded, err := json.Marshal(line)
	if err != nil {
		return
	}
	_, _ = journal.file.Write(append(encoded, '\n'))
}
