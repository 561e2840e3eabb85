// Package settings reads an INI file and reports all problems in it at once,
// each with its file, line and key.
//
// The values come from ini.v1, which reports no line numbers, stops at the
// first syntax error and silently keeps the last value of a duplicate key. A
// separate scan of the lines finds positions, syntax errors and duplicate keys.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"firford/lib/findings"
)

// byteOrderMark is the mark in UTF-8.
const byteOrderMark = "\ufeff"

type (
	// File is a parsed settings file. Each read of a value marks its key as known;
	// Findings reports the keys that were never read. A File is not safe for
	// concurrent use.
	File struct {
		path     string
		values   *ini.File
		lines    map[string]line
		known    map[string]bool
		sections map[string]bool
		list     findings.List
	}

	// Section reads the keys of one section.
	Section struct {
		file *File
		name string
	}

	// line is the position and text of a line that sets a key or opens a section.
	// File.lines has sections under their name followed by a dot.
	line struct {
		number int
		column int
		source string
	}
)

// Open reads and parses the file at path. It returns an error only if the file
// can't be read; problems in its content become findings.
func Open(path string) (*File, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, string(body)), nil
}

// Parse parses settings from text; path only appears in the positions of
// findings.
func Parse(path, text string) *File {
	file := &File{
		path:     path,
		lines:    map[string]line{},
		known:    map[string]bool{},
		sections: map[string]bool{},
	}
	// Editors of some systems put a byte order mark at the start of a file.
	clean := file.scanLines(strings.TrimPrefix(text, byteOrderMark))
	values, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, []byte(clean))
	if err != nil {
		file.list = file.list.With(findings.Finding{Position: findings.Position{File: path}, Text: err.Error()})
		values = ini.Empty()
	}
	file.values = values
	return file
}

// scanLines records the position of each section and key. It returns the text
// without the lines that are syntax errors, at which ini.v1 would stop.
func (file *File) scanLines(text string) string {
	var clean strings.Builder
	section := ""
	for i, source := range strings.Split(text, "\n") {
		trimmed := strings.TrimSpace(source)
		position := line{number: i + 1, column: strings.Index(source, trimmed) + 1, source: strings.TrimRight(source, " \r\t")}
		switch {
		case trimmed == "" || trimmed[0] == '#' || trimmed[0] == ';':
		case trimmed[0] == '[' && strings.HasSuffix(trimmed, "]"):
			section = strings.TrimSpace(trimmed[1 : len(trimmed)-1])
			file.lines[section+"."] = position
		case strings.Contains(trimmed, "=") && !strings.HasPrefix(trimmed, "="):
			file.scanKey(section, trimmed, position)
		default:
			file.addFinding(position, "", "neither a section, a key nor a comment", trimmed, "key = value")
			continue
		}
		clean.WriteString(source + "\n")
	}
	return clean.String()
}

func (file *File) scanKey(section, trimmed string, position line) {
	name, _, _ := strings.Cut(trimmed, "=")
	key := section + "." + strings.TrimSpace(name)
	if earlier, duplicate := file.lines[key]; duplicate {
		file.addFinding(position, key, fmt.Sprintf("set before in line %d", earlier.number), "", "one value")
		return
	}
	file.lines[key] = position
}

func (file *File) addFinding(position line, key, text, found, allowed string) {
	file.list = file.list.With(findings.Finding{
		Position: findings.Position{File: file.path, Line: position.number, Column: position.column},
		Key:      key,
		Text:     text,
		Found:    found,
		Source:   position.source, Allowed: allowed,
	})
}

// Section returns a reader for the keys of the section and marks the section as
// known.
func (file *File) Section(name string) Section {
	file.sections[name] = true
	return Section{file: file, name: name}
}

// HasSection reports whether the file has the section.
func (file *File) HasSection(name string) bool {
	_, present := file.lines[name+"."]
	return present
}

// Findings returns all problems found so far, including the sections and keys
// that were never read. Call it after all values have been read.
func (file *File) Findings() findings.List {
	list := file.list
	for key, position := range file.lines {
		if file.known[key] {
			continue
		}
		section, name, _ := strings.Cut(key, ".")
		text := "unknown key"
		switch {
		case name == "" && file.sections[section]:
			continue
		case name == "":
			text = "unknown section"
		}
		list = list.With(findings.Finding{
			Position: findings.Position{File: file.path, Line: position.number, Column: position.column},
			Key:      strings.TrimSuffix(key, "."),
			Text:     text,
			Source:   position.source,
		})
	}
	return list
}

// AddFinding adds a finding about the value of a key, for checks that the typed
// reads do not make.
func (section Section) AddFinding(key, text, found, allowed string) {
	full := section.name + "." + key
	section.file.addFinding(section.file.lines[full], full, text, found, allowed)
}

// Has reports whether the key has a value that is not empty.
func (section Section) Has(key string) bool {
	_, set := section.lookup(key)
	return set
}

// lookup returns the trimmed value and whether it is not empty, and marks the key
// as known.
func (section Section) lookup(key string) (string, bool) {
	section.file.known[section.name+"."+key] = true
	value := strings.TrimSpace(section.file.values.Section(section.name).Key(key).String())
	return value, value != ""
}

// String returns the value, or fallback if the key is absent.
func (section Section) String(key, fallback string) string {
	value, set := section.lookup(key)
	if !set {
		return fallback
	}
	return value
}

// Required returns the value. A missing value is a finding.
func (section Section) Required(key string) string {
	value, set := section.lookup(key)
	if !set {
		section.AddFinding(key, "missing", "", "a value")
	}
	return value
}

// OneOf returns the value, which must be one of allowed. The default is the first
// of them.
func (section Section) OneOf(key string, allowed ...string) string {
	value, set := section.lookup(key)
	if !set {
		return allowed[0]
	}
	for _, candidate := range allowed {
		if candidate == value {
			return value
		}
	}
	section.AddFinding(key, "not one of the allowed values", value, strings.Join(allowed, ", "))
	return allowed[0]
}

// Address returns an IP address with its port. The key is required. Host names
// are rejected, because processes connect to each other by IP address only.
func (section Section) Address(key string) string {
	value := section.Required(key)
	if value != "" {
		section.checkAddress(key, value)
	}
	return value
}

// OptionalAddress returns an IP address with its port, or an empty string if the
// key is absent.
func (section Section) OptionalAddress(key string) string {
	value, set := section.lookup(key)
	if set {
		section.checkAddress(key, value)
	}
	return value
}

func (section Section) checkAddress(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		section.AddFinding(key, "not an address", value, "an IP address and a port, such as 10.0.0.5:7000")
	}
}

// Integer returns an integer from minimum to maximum, or fallback if the key is absent.
func (section Section) Integer(key string, fallback, minimum, maximum int64) int64 {
	value, set := section.lookup(key)
	if !set {
		return fallback
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < minimum || number > maximum {
		section.AddFinding(key, "out of range", value, fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
		return fallback
	}
	return number
}

// Share returns a number from 0 to 1, or fallback if the key is absent.
func (section Section) Share(key string, fallback float64) float64 {
	return section.Number(key, fallback, 0, 1)
}

// Number returns a number from minimum to maximum, or fallback if the key is absent.
func (section Section) Number(key string, fallback, minimum, maximum float64) float64 {
	value, set := section.lookup(key)
	if !set {
		return fallback
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= minimum && number <= maximum) {
		section.AddFinding(key, "out of range", value, fmt.Sprintf("a number from %g to %g", minimum, maximum))
		return fallback
	}
	return number
}

// Bool returns a boolean, or fallback if the key is absent.
func (section Section) Bool(key string, fallback bool) bool {
	value, set := section.lookup(key)
	if !set {
		return fallback
	}
	flag, err := strconv.ParseBool(value)
	if err != nil {
		section.AddFinding(key, "not a truth value", value, "true or false")
		return fallback
	}
	return flag
}

// Duration returns a duration from minimum to maximum, or fallback if the key is
// absent.
func (section Section) Duration(key string, fallback, minimum, maximum time.Duration) time.Duration {
	value, set := section.lookup(key)
	if !set {
		return fallback
	}
	duration, err := time.ParseDuration(value)
	if err != nil || duration < minimum || duration > maximum {
		section.AddFinding(key, "out of range", value, fmt.Sprintf("a duration from %s to %s, such as 250ms", minimum, maximum))
		return fallback
	}
	return duration
}

// Secret returns the trimmed content of the file whose path is the value. The
// content never appears in a finding.
func (section Section) Secret(key string) []byte {
	path := section.Required(key)
	if path == "" {
		return nil
	}
	body, err := os.ReadFile(path)
	if err != nil {
		section.AddFinding(key, "file can't be read", path, "a readable file")
		return nil
	}
	secret := strings.TrimSpace(string(body))
	if secret == "" {
		section.AddFinding(key, "file is empty", path, "a file with a secret in it")
	}
	return []byte(secret)
}
