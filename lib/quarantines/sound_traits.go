package quarantines

// This file remembers with which traits servers have answered.

import "time"

// maxSoundTraits bounds the traits that are remembered.
const maxSoundTraits = 8192

type (
	// soundness is when the last answer with a trait began that its server survived, and
	// how many such answers there were. It is zero if there was none. complete counts the
	// complete answers, also of servers that crashed soon after.
	soundness struct {
		lastBeganAt       time.Time
		answers, complete int
	}

	// soundTraits remembers the soundness of traits. Once half of maxSoundTraits are recent,
	// they become the former ones.
	soundTraits struct {
		recent, former map[Trait]soundness
	}
)

// isSoundAt reports whether a trait can't be blamed for a crash at the time.
func (known soundness) isSoundAt(at time.Time) bool {
	return at.Before(known.lastBeganAt.Add(soundTime))
}

// get returns what is known of the answers with the trait.
func (sound *soundTraits) get(trait Trait) soundness {
	if known, isRecent := sound.recent[trait]; isRecent {
		return known
	}
	return sound.former[trait]
}

// record records that an answer with the trait began, and reports whether that is newer
// than what was known.
func (sound *soundTraits) record(trait Trait, beganAt time.Time) bool {
	known := sound.get(trait)
	if !beganAt.After(known.lastBeganAt) {
		return false
	}
	known.lastBeganAt = beganAt
	known.answers++
	sound.set(trait, known)
	return true
}

// countComplete counts a complete answer with the trait.
func (sound *soundTraits) countComplete(trait Trait) {
	known := sound.get(trait)
	known.complete++
	sound.set(trait, known)
}

func (sound *soundTraits) set(trait Trait, known soundness) {
	if sound.recent == nil || len(sound.recent) >= maxSoundTraits/2 {
		sound.former, sound.recent = sound.recent, map[Trait]soundness{}
	}
	sound.recent[trait] = known
}
