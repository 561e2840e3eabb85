package configurations

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

type (
	// Snapshot is the whole configuration at one revision. It is immutable, so
	// readers need no lock; With returns a modified copy.
	Snapshot struct {
		Revision int64
		objects  map[objectKey]Entry
	}

	// Entry is an object with the revision of its last change.
	Entry struct {
		Object   Object
		Revision int64
	}

	// Change is one accepted change. Object is nil if the change deletes the object.
	Change struct {
		Revision  int64  `json:"revision"`
		RequestID string `json:"request_id"`
		Operator  string `json:"operator"`
		Kind      string `json:"kind"`
		Name      string `json:"name"`
		Object    Object `json:"-"`
		Intent    string `json:"intent,omitempty"`
	}

	objectKey struct {
		kind string
		name string
	}
)

// With returns the snapshot after the change. It fails unless the revision of the
// change directly follows that of the snapshot.
func (snapshot Snapshot) With(change Change) (Snapshot, error) {
	if change.Revision != snapshot.Revision+1 {
		return snapshot, fmt.Errorf("change with revision %d does not follow revision %d", change.Revision, snapshot.Revision)
	}
	objects := maps.Clone(snapshot.objects)
	if objects == nil {
		objects = map[objectKey]Entry{}
	}
	key := objectKey{kind: change.Kind, name: change.Name}
	if change.Object == nil {
		delete(objects, key)
	} else {
		objects[key] = Entry{Object: change.Object, Revision: change.Revision}
	}
	return Snapshot{Revision: change.Revision, objects: objects}, nil
}

// NewSnapshot returns a snapshot that holds the entries at the revision.
func NewSnapshot(revision int64, entries []Entry) Snapshot {
	objects := map[objectKey]Entry{}
	for _, entry := range entries {
		objects[objectKey{kind: entry.Object.Kind(), name: entry.Object.ObjectName()}] = entry
	}
	return Snapshot{Revision: revision, objects: objects}
}

// Lookup returns the object of the type with the name, and the revision of its
// last change.
func Lookup[T Object](snapshot Snapshot, name string) (object T, revision int64, found bool) {
	entry, found := snapshot.objects[objectKey{kind: object.Kind(), name: name}]
	if !found {
		return object, 0, false
	}
	return entry.Object.(T), entry.Revision, true
}

// lastChange returns the revision of an object's last change, or zero if the
// object does not exist.
func (snapshot Snapshot) lastChange(kind, name string) int64 {
	return snapshot.objects[objectKey{kind: kind, name: name}].Revision
}

// Find returns the object of the kind with the name, for callers that know the
// kind only at run time. Others use Lookup.
func (snapshot Snapshot) Find(kind, name string) (Entry, bool) {
	entry, found := snapshot.objects[objectKey{kind: kind, name: name}]
	return entry, found
}

// All returns the objects of the type, ordered by name.
func All[T Object](snapshot Snapshot) []T {
	var kind T
	var list []T
	for _, entry := range snapshot.Entries() {
		if entry.Object.Kind() == kind.Kind() {
			list = append(list, entry.Object.(T))
		}
	}
	return list
}

// Entries returns every object, ordered by kind and name.
func (snapshot Snapshot) Entries() []Entry {
	keys := slices.SortedFunc(maps.Keys(snapshot.objects), func(a, b objectKey) int {
		if a.kind != b.kind {
			return strings.Compare(a.kind, b.kind)
		}
		return strings.Compare(a.name, b.name)
	})
	entries := make([]Entry, 0, len(keys))
	for _, key := range keys {
		entries = append(entries, snapshot.objects[key])
	}
	return entries
}

// DecodeObject decodes an object of the kind from JSON. It rejects unknown kinds
// but ignores unknown fields, because a newer process may have written them.
func DecodeObject(kind string, encoded []byte) (Object, error) {
	return decode(kind, encoded, json.Unmarshal)
}

// DecodeStrict decodes an object that a person has written. Unlike DecodeObject
// it rejects unknown fields, so that a misspelt field is not silently ignored.
func DecodeStrict(kind string, encoded []byte) (Object, error) {
	return decode(kind, encoded, func(encoded []byte, object any) error {
		decoder := json.NewDecoder(bytes.NewReader(encoded))
		decoder.DisallowUnknownFields()
		return decoder.Decode(object)
	})
}

func decode(kind string, encoded []byte, unmarshal func([]byte, any) error) (Object, error) {
	switch kind {
	case KindDeployment:
		return decodeAs[Deployment](encoded, unmarshal)
	case KindModel:
		return decodeAs[Model](encoded, unmarshal)
	case KindVersion:
		return decodeAs[Version](encoded, unmarshal)
	case KindRouting:
		return decodeAs[Routing](encoded, unmarshal)
	case KindOrganisation:
		return decodeAs[Organisation](encoded, unmarshal)
	case KindRollout:
		return decodeAs[Rollout](encoded, unmarshal)
	default:
		return nil, fmt.Errorf("unknown kind of configuration object %q", kind)
	}
}

func decodeAs[T Object](encoded []byte, unmarshal func([]byte, any) error) (Object, error) {
	var object T
	if err := unmarshal(encoded, &object); err != nil {
		return nil, fmt.Errorf("decode %s: %w", object.Kind(), err)
	}
	return object, nil
}
