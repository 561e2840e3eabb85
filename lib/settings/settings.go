// Package settings reads an INI file as a whole and reports every problem in
// it at once, each with its file, line and key.
//
// The values come from ini.v1, which reports no line numbers, stops at the
// first syntax error and keeps the last of two equal keys without a word. A
// scan of the lines beside it supplies the places, the syntax errors and the
// duplicates.
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

type (
	// File is a settings file that is being read. Each typed read marks its key
	// as known; Findings reports the keys that nothing has read. A File is not
	// safe for concurrent use.
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

	line struct {
		number int
		column int
		source string
	}
)

// Open reads the file at path. It fails only when the file can't be read at
// all; problems within it become findings.
func Open(path string) (*File, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, string(body)), nil
}

// Parse reads settings from text; path serves only to name places.
func Parse(path, text string) *File {
	file := &File{
		path:     path,
		lines:    map[string]line{},
		known:    map[string]bool{},
		sections: map[string]bool{},
	}
	clean := file.scan(text)
	values, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, []byte(clean))
	if err != nil {
		file.list = file.list.With(findings.Finding{Position: findings.Position{File: path}, Text: err.Error()})
		values = ini.Empty()
	}
	file.values = values
	return file
}

// scan records the place of each key and returns the text without the lines
// that ini.v1 would stop at.
func (file *File) scan(text string) string {
	var clean strings.Builder
	section := ""
	for i, source := range strings.Split(text, "\n") {
		trimmed := strings.TrimSpace(source)
		place := line{number: i + 1, column: strings.Index(source, trimmed) + 1, source: strings.TrimRight(source, " \r\t")}
		switch {
		case trimmed == "" || trimmed[0] == '#' || trimmed[0] == ';':
		case trimmed[0] == '[' && strings.HasSuffix(trimmed, "]"):
			section = strings.TrimSpace(trimmed[1 : len(trimmed)-1])
			file.lines[section+"."] = place
		case strings.Contains(trimmed, "=") && !strings.HasPrefix(trimmed, "="):
			file.scanKey(section, trimmed, place)
		default:
			file.add(place, "", "neither a section, a key nor a comment", trimmed, "key = value")
			continue
		}
		clean.WriteString(source + "\n")
	}
	return clean.String()
}

func (file *File) scanKey(section, trimmed string, place line) {
	name, _, _ := strings.Cut(trimmed, "=")
	key := section + "." + strings.TrimSpace(name)
	if earlier, twice := file.lines[key]; twice {
		file.add(place, key, fmt.Sprintf("set before in line %d", earlier.number), "", "one value")
		return
	}
	file.lines[key] = place
}

func (file *File) add(place line, key, text, found, allowed string) {
	file.list = file.list.With(findings.Finding{
		Position: findings.Position{File: file.path, Line: place.number, Column: place.column},
		Key:      key,
		Text:     text,
		Found:    found,
		Source:   place.source, Allowed: allowed,
	})
}

// Section returns the reader of one section.
func (file *File) Section(name string) Section {
	file.sections[name] = true
	return Section{file: file, name: name}
}

// HasSection reports whether the file has the section.
func (file *File) HasSection(name string) bool {
	_, present := file.lines[name+"."]
	return present
}

// Findings returns all problems met so far, including the keys that no read
// has asked for. Call it after the last read.
func (file *File) Findings() findings.List {
	list := file.list
	for key, place := range file.lines {
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
			Position: findings.Position{File: file.path, Line: place.number, Column: place.column},
			Key:      strings.TrimSuffix(key, "."),
			Text:     text,
			Source:   place.source,
		})
	}
	return list
}

// AddFinding adds a finding about a key that a caller has checked itself.
func (section Section) AddFinding(key, text, found, allowed string) {
	full := section.name + "." + key
	section.file.add(section.file.lines[full], full, text, found, allowed)
}

// Has reports whether the key is set to something.
func (section Section) Has(key string) bool {
	_, set := section.text(key)
	return set
}

func (section Section) text(key string) (string, bool) {
	section.file.known[section.name+"."+key] = true
	value := strings.TrimSpace(section.file.values.Section(section.name).Key(key).String())
	return value, value != ""
}

// String returns the value, or fallback where the key is absent.
func (section Section) String(key, fallback string) string {
	value, set := section.text(key)
	if !set {
		return fallback
	}
	return value
}

// Required returns the value and reports its absence.
func (section Section) Required(key string) string {
	value, set := section.text(key)
	if !set {
		section.AddFinding(key, "missing", "", "a value")
	}
	return value
}

// OneOf returns the value, which must be one of allowed; the first is the default.
func (section Section) OneOf(key string, allowed ...string) string {
	value, set := section.text(key)
	if !set {
		return allowed[0]
	}
	for _, each := range allowed {
		if each == value {
			return value
		}
	}
	section.AddFinding(key, "not one of the allowed values", value, strings.Join(allowed, ", "))
	return allowed[0]
}

// Address returns an IP address with its port. Host names are refused, because
// processes address each other by IP numbers only.
func (section Section) Address(key string) string {
	value := section.Required(key)
	if value != "" {
		section.checkAddress(key, value)
	}
	return value
}

// OptionalAddress is Address for a key that may be absent.
func (section Section) OptionalAddress(key string) string {
	value, set := section.text(key)
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

// Integer returns a whole number between least and most.
func (section Section) Integer(key string, fallback, least, most int64) int64 {
	value, set := section.text(key)
	if !set {
		return fallback
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < least || number > most {
		section.AddFinding(key, "out of range", value, fmt.Sprintf("a whole number from %d to %d", least, most))
		return fallback
	}
	return number
}

// Share returns a number between 0 and 1.
func (section Section) Share(key string, fallback float64) float64 {
	return section.Number(key, fallback, 0, 1)
}

// Number returns a number between least and most.
func (section Section) Number(key string, fallback, least, most float64) float64 {
	value, set := section.text(key)
	if !set {
		return fallback
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= least && number <= most) {
		section.AddFinding(key, "out of range", value, fmt.Sprintf("a number from %g to %g", least, most))
		return fallback
	}
	return number
}

// Bool returns true or false.
func (section Section) Bool(key string, fallback bool) bool {
	value, set := section.text(key)
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

// Duration returns a span of time between least and most.
func (section Section) Duration(key string, fallback, least, most time.Duration) time.Duration {
	value, set := section.text(key)
	if !set {
		return fallback
	}
	span, err := time.ParseDuration(value)
	if err != nil || span < least || span > most {
		section.AddFinding(key, "out of range", value, fmt.Sprintf("a duration from %s to %s, such as 250ms", least, most))
		return fallback
	}
	return span
}

// Secret returns the content of the file that the key names. The content never
// appears in a finding.
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
