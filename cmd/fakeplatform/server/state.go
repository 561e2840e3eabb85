package server

// The real platform keeps its data when a process is killed, so a fake that is
// killed in a test must do so as well.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"path/filepath"

	"firford/lib/platform"
)

const (
	tableFile     = "table.jsonl"
	objectsFolder = "objects"
	weightsFolder = "weights"
)

type (
	// state writes the table as a journal of transactions, and objects and weights
	// as files. The zero state writes nothing.
	state struct {
		folder string
		table  *os.File
	}

	// journalEntry is a committed transaction.
	journalEntry struct {
		Revision int64            `json:"revision"`
		Writes   []platform.Write `json:"writes"`
	}
)

// openState creates the folders, loads the state that an earlier process has left
// there, and opens the journal for appending.
func openState(folder string, table *table, objects map[string][]byte, origin *origin) (state, error) {
	for _, name := range []string{objectsFolder, weightsFolder} {
		if err := os.MkdirAll(filepath.Join(folder, name), 0o755); err != nil {
			return state{}, fmt.Errorf("open state: %w", err)
		}
	}
	if err := replayJournal(filepath.Join(folder, tableFile), table); err != nil {
		return state{}, err
	}
	file, err := os.OpenFile(filepath.Join(folder, tableFile), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return state{}, fmt.Errorf("open state: %w", err)
	}
	restored := state{folder: folder, table: file}
	err = restored.forEachFile(objectsFolder, func(name string, content []byte) error {
		objects[name] = content
		return nil
	})
	if err == nil {
		err = restored.forEachFile(weightsFolder, origin.put)
	}
	return restored, err
}

// replayJournal applies the journal to the table. An incomplete last line belongs
// to a transaction whose caller received no response. It is cut off, since the next
// transaction would join it.
func replayJournal(path string, table *table) error {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("replay table: %w", err)
	}
	defer func() { _ = file.Close() }()
	complete := int64(0)
	for reader := bufio.NewReader(file); ; {
		line, err := reader.ReadBytes('\n')
		var entry journalEntry
		if err != nil || json.Unmarshal(line, &entry) != nil {
			break
		}
		table.apply(entry.Revision, entry.Writes)
		complete += int64(len(line))
	}
	if err := os.Truncate(path, complete); err != nil {
		return fmt.Errorf("replay table: %w", err)
	}
	return nil
}

// commit appends a transaction to the journal. It is called before the response is
// sent.
func (state state) commit(revision int64, writes []platform.Write) error {
	if state.table == nil {
		return nil
	}
	line, err := json.Marshal(journalEntry{Revision: revision, Writes: writes})
	if err != nil {
		return err
	}
	_, err = state.table.Write(append(line, '\n'))
	return err
}

// save writes a file under a temporary name and renames it, so that a kill leaves
// no incomplete file.
func (state state) save(folder, name string, content []byte) error {
	if state.folder == "" {
		return nil
	}
	path := filepath.Join(state.folder, folder, url.QueryEscape(name))
	if err := os.WriteFile(path+".new", content, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// forEachFile calls load for each complete file of a folder, with its original
// name.
func (state state) forEachFile(folder string, load func(name string, content []byte) error) error {
	files, err := os.ReadDir(filepath.Join(state.folder, folder))
	if err != nil {
		return fmt.Errorf("read state: %w", err)
	}
	for _, file := range files {
		name, err := url.QueryUnescape(file.Name())
		if err != nil || filepath.Ext(file.Name()) == ".new" {
			continue
		}
		content, err := os.ReadFile(filepath.Join(state.folder, folder, file.Name()))
		if err != nil {
			return fmt.Errorf("read state: %w", err)
		}
		if err := load(name, content); err != nil {
			return err
		}
	}
	return nil
}
