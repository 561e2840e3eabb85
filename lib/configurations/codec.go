package configurations

// This file defines the JSON encoding of changes and entries, in which the kind
// is stored next to an object so that the object can be decoded to its Go type.

import (
	"encoding/json"
	"fmt"
)

type (
	// changeRecord is the encoding of a Change in log rows and messages. Object is
	// absent if the change deletes the object.
	changeRecord struct {
		Revision  int64           `json:"revision"`
		RequestID string          `json:"request_id"`
		Operator  string          `json:"operator"`
		Kind      string          `json:"kind"`
		Name      string          `json:"name"`
		Object    json.RawMessage `json:"object,omitempty"`
		Intent    string          `json:"intent,omitempty"`
	}

	// entryRecord is the encoding of an Entry in object rows and messages.
	entryRecord struct {
		Revision int64           `json:"revision"`
		Kind     string          `json:"kind"`
		Object   json.RawMessage `json:"object"`
	}

	// revisionRecord is the value of the revision row and of request rows.
	revisionRecord struct {
		Revision int64 `json:"revision"`
	}
)

// MarshalJSON implements json.Marshaler.
func (change Change) MarshalJSON() ([]byte, error) {
	record := changeRecord{
		Revision:  change.Revision,
		RequestID: change.RequestID,
		Operator:  change.Operator,
		Kind:      change.Kind,
		Name:      change.Name,
		Intent:    change.Intent,
	}
	if change.Object != nil {
		encoded, err := json.Marshal(change.Object)
		if err != nil {
			return nil, fmt.Errorf("encode %s %s: %w", change.Kind, change.Name, err)
		}
		record.Object = encoded
	}
	return json.Marshal(record)
}

// UnmarshalJSON implements json.Unmarshaler.
func (change *Change) UnmarshalJSON(encoded []byte) error {
	var record changeRecord
	if err := json.Unmarshal(encoded, &record); err != nil {
		return fmt.Errorf("decode change: %w", err)
	}
	*change = Change{
		Revision:  record.Revision,
		RequestID: record.RequestID,
		Operator:  record.Operator,
		Kind:      record.Kind,
		Name:      record.Name,
		Intent:    record.Intent,
	}
	if record.Object == nil {
		return nil
	}
	object, err := DecodeObject(record.Kind, record.Object)
	change.Object = object
	return err
}

// MarshalJSON implements json.Marshaler.
func (entry Entry) MarshalJSON() ([]byte, error) {
	encoded, err := json.Marshal(entry.Object)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", entry.Object.Kind(), err)
	}
	return json.Marshal(entryRecord{Revision: entry.Revision, Kind: entry.Object.Kind(), Object: encoded})
}

// UnmarshalJSON implements json.Unmarshaler.
func (entry *Entry) UnmarshalJSON(encoded []byte) error {
	var record entryRecord
	if err := json.Unmarshal(encoded, &record); err != nil {
		return fmt.Errorf("decode object: %w", err)
	}
	object, err := DecodeObject(record.Kind, record.Object)
	*entry = Entry{Object: object, Revision: record.Revision}
	return err
}

// mustEncode panics if the value cannot be encoded. Validated objects hold only
// strings, booleans and finite numbers, so encoding them never fails.
func mustEncode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode configuration: %v", err))
	}
	return encoded
}
