package configurations

// This file checks a change against the configuration that it is made to, so
// that nothing is accepted that a process could not carry out. All problems are
// collected, because an operator who mends one at a time needs a call for each.

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"

	"firford/lib/findings"
)

const (
	// MaxSnapshotBytes bounds the whole configuration, so that it fits into one
	// message between processes.
	MaxSnapshotBytes = 1 << 20

	digestHexLength  = 64
	maxRequestsRate  = 1e6
	maxWeight        = 1e6
	maxInFlight      = 1_000_000
	maxCanaryHosts   = 1000
	maxMilliseconds  = 24 * 60 * 60 * 1000
	allowedNames     = "1 to 63 lower-case letters, digits, - _ and ., starting with a letter or digit"
	allowedRequestID = "1 to 128 letters, digits, - _ and ."
)

var (
	kinds = []string{KindDeployment, KindModel, KindVersion, KindRouting, KindOrganisation, KindRollout}

	namePattern      = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)
)

type problems struct {
	list findings.List
}

// Validate returns everything that keeps the request from being accepted at
// the snapshot, except that the object has changed.
func Validate(snapshot Snapshot, request Request) findings.List {
	var found problems
	if !requestIDPattern.MatchString(request.ID) {
		found.add("request_id", "malformed", request.ID, allowedRequestID)
	}
	if request.Object == nil {
		found.deletion(snapshot, request)
		return found.list
	}
	if request.Object.Kind() != request.Kind || request.Object.ObjectName() != request.Name {
		found.add("name", "the object is not the one that the request names", request.Object.ObjectName(), request.Name)
	}
	found.object(snapshot, request.Object)
	if found.list.Len() == 0 {
		found.size(snapshot, request)
	}
	return found.list
}

func (found *problems) add(key, text, value, allowed string) {
	found.list = found.list.With(findings.Finding{Key: key, Text: text, Found: value, Allowed: allowed})
}

func (found *problems) object(snapshot Snapshot, object Object) {
	switch object := object.(type) {
	case Deployment:
		found.deployment(snapshot, object)
	case Model:
		found.name("name", object.Name)
	case Version:
		found.version(snapshot, object)
	case Routing:
		found.routing(snapshot, object)
	case Organisation:
		found.organisation(snapshot, object)
	case Rollout:
		found.rollout(snapshot, object)
	default:
		found.add("kind", "unknown kind of object", object.Kind(), "")
	}
}

func (found *problems) deployment(snapshot Snapshot, deployment Deployment) {
	found.name("name", deployment.Name)
	found.oneOf("type", deployment.Type, DeploymentEngine, DeploymentService)
	if deployment.Type == DeploymentEngine {
		reference[Model](found, snapshot, "model", deployment.Model)
		found.oneOf("policy", deployment.Policy, PolicyLessTime, PolicyFewerOriginBytes)
	}
	if deployment.Type == DeploymentService && deployment.Model != "" {
		found.add("model", "a service has no model", deployment.Model, "nothing")
	}
	found.between("origin_link_share", deployment.OriginLinkShare, 0, 1)
	found.between("minimum_serving_share", deployment.MinimumServingShare, 0, 1)
	found.between("canary_hosts", float64(deployment.CanaryHosts), 0, maxCanaryHosts)
	found.between("objectives.answered_share", deployment.Objectives.AnsweredShare, 0, 1)
	found.between("objectives.first_token_ms", float64(deployment.Objectives.FirstTokenMS), 0, maxMilliseconds)
	found.between("objectives.token_gap_ms", float64(deployment.Objectives.TokenGapMS), 0, maxMilliseconds)
	found.between("objectives.replicas_ms", float64(deployment.Objectives.ReplicasMS), 0, maxMilliseconds)
}

func (found *problems) version(snapshot Snapshot, version Version) {
	found.name("name", version.Name)
	reference[Model](found, snapshot, "model", version.Model)
	found.oneOf("type", version.Type, VersionWhole, VersionAdapter)
	found.digest("manifest_digest", version.ManifestDigest)
	if version.Size <= 0 {
		found.add("size", "out of range", strconv.FormatInt(version.Size, 10), "a whole number of bytes above 0")
	}
	found.base(snapshot, version)
	earlier, _, exists := Lookup[Version](snapshot, version.Name)
	if exists && earlier != version {
		found.add("name", "a published version is never changed", version.Name, "a new name")
	}
}

func (found *problems) base(snapshot Snapshot, version Version) {
	if version.Type != VersionAdapter {
		if version.Base != "" {
			found.add("base", "only an adapter has a base", version.Base, "nothing")
		}
		return
	}
	base, exists := reference[Version](found, snapshot, "base", version.Base)
	if exists && (base.Type != VersionWhole || base.Model != version.Model) {
		found.add("base", "not a whole version of the same model", version.Base, "a whole version of model "+version.Model)
	}
}

func (found *problems) routing(snapshot Snapshot, routing Routing) {
	deployment, exists := reference[Deployment](found, snapshot, "deployment", routing.Deployment)
	found.oneOf("spill", routing.Spill, SpillDataCentre, SpillRegion, SpillAnywhere)
	if exists && (deployment.Type == DeploymentEngine || routing.Version != "") {
		found.versionOf(snapshot, "version", routing.Version, deployment)
	}
}

func (found *problems) versionOf(snapshot Snapshot, key, name string, deployment Deployment) {
	version, exists := reference[Version](found, snapshot, key, name)
	if exists && version.Model != deployment.Model {
		found.add(key, "a version of another model", name, "a version of model "+deployment.Model)
	}
}

func (found *problems) organisation(snapshot Snapshot, organisation Organisation) {
	found.name("name", organisation.Name)
	found.digest("token_hash", organisation.TokenHash)
	if !(organisation.Weight > 0 && organisation.Weight <= maxWeight) {
		found.add("weight", "out of range", formatNumber(organisation.Weight), "a number above 0, at most "+formatNumber(maxWeight))
	}
	found.between("requests_per_s", organisation.RequestsPerSecond, 0, maxRequestsRate)
	found.between("in_flight", float64(organisation.InFlight), 0, maxInFlight)
	for _, other := range All[Organisation](snapshot) {
		if other.Name != organisation.Name && other.TokenHash == organisation.TokenHash {
			found.add("token_hash", "the token belongs to another organisation", other.Name, "a token of its own")
		}
	}
}

func (found *problems) rollout(snapshot Snapshot, rollout Rollout) {
	deployment, exists := reference[Deployment](found, snapshot, "deployment", rollout.Deployment)
	found.oneOf("state", rollout.State, RolloutRunning, RolloutPaused, RolloutStopped, RolloutDone, RolloutUndone)
	if !exists {
		return
	}
	if deployment.Type != DeploymentEngine {
		found.add("deployment", "a service has no versions", rollout.Deployment, "a deployment of type engine")
		return
	}
	found.versionOf(snapshot, "version", rollout.Version, deployment)
	if rollout.Previous != "" {
		found.versionOf(snapshot, "previous", rollout.Previous, deployment)
	}
}

// deletion refuses to delete what another object still names.
func (found *problems) deletion(snapshot Snapshot, request Request) {
	for _, entry := range snapshot.Entries() {
		for _, used := range references(entry.Object) {
			if used.kind == request.Kind && used.name == request.Name {
				found.add("name", "still in use", request.Name,
					fmt.Sprintf("delete or change %s %s first", entry.Object.Kind(), entry.Object.ObjectName()))
				break
			}
		}
	}
}

// references returns the objects that the object names.
func references(object Object) []objectKey {
	switch object := object.(type) {
	case Deployment:
		return []objectKey{{KindModel, object.Model}}
	case Version:
		return []objectKey{{KindModel, object.Model}, {KindVersion, object.Base}}
	case Routing:
		return []objectKey{{KindDeployment, object.Deployment}, {KindVersion, object.Version}}
	case Rollout:
		return []objectKey{{KindDeployment, object.Deployment}, {KindVersion, object.Version}, {KindVersion, object.Previous}}
	default:
		return nil
	}
}

func (found *problems) size(snapshot Snapshot, request Request) {
	next, err := snapshot.With(Change{Revision: snapshot.Revision + 1, Kind: request.Kind, Name: request.Name, Object: request.Object})
	if err != nil {
		return
	}
	if size := len(mustEncode(next.Entries())); size > MaxSnapshotBytes {
		found.add("name", "the whole configuration would be too large", fmt.Sprintf("%d bytes", size),
			fmt.Sprintf("at most %d bytes", MaxSnapshotBytes))
	}
}

func (found *problems) name(key, name string) {
	if !namePattern.MatchString(name) {
		found.add(key, "malformed name", name, allowedNames)
	}
}

func (found *problems) digest(key, digest string) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(digest) != digestHexLength || hex.EncodeToString(raw) != digest {
		found.add(key, "not a digest", digest, "64 lower-case hex digits")
	}
}

func (found *problems) oneOf(key, value string, allowed ...string) {
	text := ""
	for i, each := range allowed {
		if each == value {
			return
		}
		if i > 0 {
			text += ", "
		}
		text += each
	}
	found.add(key, "not one of the allowed values", value, text)
}

// between is written so that it also reports a number that is not a number.
func (found *problems) between(key string, value, least, most float64) {
	if !(value >= least && value <= most) {
		found.add(key, "out of range", formatNumber(value), "a number from "+formatNumber(least)+" to "+formatNumber(most))
	}
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}

// reference reports a name that no object of the kind has.
func reference[T Object](found *problems, snapshot Snapshot, key, name string) (T, bool) {
	object, _, exists := Lookup[T](snapshot, name)
	if !exists {
		found.add(key, object.Kind()+" does not exist", name, "the name of a "+object.Kind())
	}
	return object, exists
}
