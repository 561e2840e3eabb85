package loads

// This file carries the records of crashes between entries. An entry sends its own to
// the agents, which pass those of all entries on.

import (
	"slices"
	"time"

	"firford/lib/quarantines"
)

const (
	// maxCrashBytes bounds the records of crashes in a datagram to half of its size.
	maxCrashBytes = maxDatagramBytes / 2
	// crashOverheadBytes and partOverheadBytes are at least what the encoding adds to the
	// texts of a record and of a part, and requestBytes what a fingerprint takes.
	crashOverheadBytes = 96
	partOverheadBytes  = 16
	requestBytes       = 36
)

type (
	// crashes are quarantines.Records in a datagram. They have ages instead of times, since
	// the clocks of two hosts differ. Requests stand by their fingerprints.
	crashes struct {
		Crashes         []crash          `json:"crashes,omitempty"`
		SoundMS         map[string]int64 `json:"sound_ms,omitempty"`
		SoundRequestsMS map[uint64]int64 `json:"sound_requests_ms,omitempty"`
	}

	// crash is a quarantines.Crash in a datagram.
	crash struct {
		Server   string   `json:"server"`
		Born     int64    `json:"born,omitempty"`
		AgeMS    int64    `json:"age_ms"`
		Parts    []string `json:"parts"`
		Requests []uint64 `json:"requests,omitempty"`
	}

	// CrashLedger holds what this entry knows about crashes. Own returns what the other
	// entries should know, and Hear records what they knew while this entry did not hear them.
	CrashLedger interface {
		Own(now time.Time) quarantines.Records
		Hear(records quarantines.Records)
	}
)

// encodeCrashes returns nil if there is nothing to send. Of more records than fit, it
// takes the newest.
func encodeCrashes(records quarantines.Records, now time.Time) *crashes {
	if records.IsEmpty() {
		return nil
	}
	encoded := &crashes{}
	bytesLeft := maxCrashBytes
	for _, each := range slices.Backward(records.Crashes()) {
		bytesLeft -= crashOverheadBytes + len(each.Server)
		next := crash{Server: each.Server, Born: each.StartedUnixMilli, AgeMS: now.Sub(each.At).Milliseconds()}
		for _, trait := range each.Traits {
			bytesLeft -= traitBytes(trait)
			next.add(trait)
		}
		if bytesLeft < 0 {
			break
		}
		encoded.Crashes = append(encoded.Crashes, next)
	}
	for _, answer := range records.Answers() {
		if bytesLeft -= traitBytes(answer.Trait); bytesLeft < 0 {
			break
		}
		encoded.addSound(answer.Trait, now.Sub(answer.BeganAt).Milliseconds())
	}
	return encoded
}

// traitBytes returns at least how many bytes the encoding of the trait takes.
func traitBytes(trait quarantines.Trait) int {
	switch trait := trait.(type) {
	case quarantines.Part:
		return partOverheadBytes + len(trait)
	case quarantines.Fingerprint:
		return requestBytes
	default:
		return 0
	}
}

// add adds a trait of the requests that the crash cut off.
func (encoded *crash) add(trait quarantines.Trait) {
	switch trait := trait.(type) {
	case quarantines.Part:
		encoded.Parts = append(encoded.Parts, string(trait))
	case quarantines.Fingerprint:
		encoded.Requests = append(encoded.Requests, uint64(trait))
	default:
	}
}

// addSound adds a trait with which answers began.
func (encoded *crashes) addSound(trait quarantines.Trait, ageMS int64) {
	switch trait := trait.(type) {
	case quarantines.Part:
		if encoded.SoundMS == nil {
			encoded.SoundMS = map[string]int64{}
		}
		encoded.SoundMS[string(trait)] = ageMS
	case quarantines.Fingerprint:
		if encoded.SoundRequestsMS == nil {
			encoded.SoundRequestsMS = map[uint64]int64{}
		}
		encoded.SoundRequestsMS[uint64(trait)] = ageMS
	default:
	}
}

func decodeCrashes(encoded *crashes, now time.Time) quarantines.Records {
	records := quarantines.Records{}
	if encoded == nil {
		return records
	}
	for _, each := range encoded.Crashes {
		traits := quarantines.Parts(each.Parts...)
		for _, request := range each.Requests {
			traits = append(traits, quarantines.Fingerprint(request))
		}
		if each.Server != "" && len(traits) > 0 {
			records, _ = records.With(quarantines.Crash{Server: each.Server, StartedUnixMilli: max(each.Born, 0), At: timeOfAge(each.AgeMS, now), Traits: traits}, now)
		}
	}
	for part, age := range encoded.SoundMS {
		records, _ = records.WithAnswer(quarantines.Answer{Trait: quarantines.Part(part), BeganAt: timeOfAge(age, now)}, now)
	}
	for request, age := range encoded.SoundRequestsMS {
		records, _ = records.WithAnswer(quarantines.Answer{Trait: quarantines.Fingerprint(request), BeganAt: timeOfAge(age, now)}, now)
	}
	return records
}

// timeOfAge returns when something happened that is this old. Nothing in a datagram may
// be newer than its arrival.
func timeOfAge(ageMS int64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(max(ageMS, 0), maxAgeMS)) * time.Millisecond)
}
