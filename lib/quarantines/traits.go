package quarantines

import "fmt"

// Fingerprint identifies requests that ask the same for the same organisation.
type Fingerprint uint64

// String returns the fingerprint as it stands in logs.
func (fingerprint Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(fingerprint)) }
