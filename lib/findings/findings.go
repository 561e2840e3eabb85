// Package findings collects problems in files and requests, each with its
// position, so that an operator sees all of them after one run instead of
// correcting them one at a time.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

type (
	// Position locates a problem in a file. Line and Column count from 1; zero means
	// that the problem has no line or column, for example because a key is absent.
	Position struct {
		File   string
		Line   int
		Column int
	}

	// Finding is one problem. Found is the rejected value and Allowed describes the
	// accepted ones; either is empty if it adds nothing to Text. Source is the line
	// that contains the problem.
	Finding struct {
		Position Position
		Key      string
		Text     string
		Found    string
		Allowed  string
		Source   string
	}

	// List is an immutable collection of findings. The zero value is empty.
	List struct {
		all []Finding
	}

	// Error carries a list that holds at least one finding.
	Error struct {
		List List
	}
)

// With returns a copy of the list with the finding appended.
func (list List) With(finding Finding) List {
	all := make([]Finding, len(list.all), len(list.all)+1)
	copy(all, list.all)
	return List{all: append(all, finding)}
}

// Join returns a list of the findings of both lists.
func (list List) Join(other List) List {
	all := make([]Finding, 0, len(list.all)+len(other.all))
	all = append(all, list.all...)
	return List{all: append(all, other.all...)}
}

// Len returns the number of findings.
func (list List) Len() int {
	return len(list.all)
}

// All returns a copy of the findings, ordered by file and line.
func (list List) All() []Finding {
	all := make([]Finding, len(list.all))
	copy(all, list.all)
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].Position.File != all[j].Position.File {
			return all[i].Position.File < all[j].Position.File
		}
		return all[i].Position.Line < all[j].Position.Line
	})
	return all
}

// Err returns nil for an empty list, otherwise an *Error.
func (list List) Err() error {
	if len(list.all) == 0 {
		return nil
	}
	return &Error{List: list}
}

// String formats every finding, each followed by its source line.
func (list List) String() string {
	var text strings.Builder
	for _, finding := range list.All() {
		text.WriteString(finding.String())
		text.WriteByte('\n')
	}
	return text.String()
}

func (err *Error) Error() string {
	return strings.TrimRight(err.List.String(), "\n")
}

// String formats the position as the prefix of a message. The zero position is
// the empty string.
func (position Position) String() string {
	switch {
	case position.File == "":
		return ""
	case position.Line == 0:
		return position.File + ": "
	case position.Column == 0:
		return fmt.Sprintf("%s:%d: ", position.File, position.Line)
	default:
		return fmt.Sprintf("%s:%d:%d: ", position.File, position.Line, position.Column)
	}
}

// String formats the finding on one line. If Source is set, the source line
// follows, with a caret below the column.
func (finding Finding) String() string {
	var text strings.Builder
	text.WriteString(finding.Position.String())
	if finding.Key != "" {
		text.WriteString(finding.Key + ": ")
	}
	text.WriteString(finding.Text)
	if finding.Found != "" {
		fmt.Fprintf(&text, ", found %q", finding.Found)
	}
	if finding.Allowed != "" {
		fmt.Fprintf(&text, ", allowed: %s", finding.Allowed)
	}
	if finding.Source != "" {
		text.WriteString("\n    " + finding.Source)
		if finding.Position.Column > 0 {
			text.WriteString("\n    " + strings.Repeat(" ", finding.Position.Column-1) + "^")
		}
	}
	return text.String()
}
