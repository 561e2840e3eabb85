package fake

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

type (
	// journal appends each execution to a file at once, so that the record of an
	// engine that is killed stays complete. The zero journal writes nothing.
	journal struct {
		file *os.File
	}

	journalLine struct {
		ID         string    `json:"id"`
		Kind       string    `json:"kind"`
		Version    string    `json:"version"`
		ResumeFrom int       `json:"resume_from,omitempty"`
		At         time.Time `json:"at"`
	}
)

// kindServed marks the line of a version that an engine starts to serve.
const kindServed = "served"

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

// write appends one line by one system call, so that lines of engines in the
// same process do not mix.
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
