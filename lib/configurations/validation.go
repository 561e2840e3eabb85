package configurations

// This file validates a requested change against the current configuration, so
// that every accepted configuration is one that processes can apply. It collects
// all problems instead of stopping at the first, so that an operator can correct
// them after a single call.

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"

	"firford/lib/findings"
)

const (
	// MaxSnapshotBytes bounds the encoded size of the whole configuration, so that
	// it fits into one message between processes.
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

// validator collects the problems of one request.
type validator struct {
	findings findings.List
}

// Validate returns all problems of the request when it is applied to the snapshot.
// It does not check ExpectedRevision.
func Validate(snapshot Snapshot, request Request) findings.List {
	var validator validator
	if !requestIDPattern.MatchString(request.ID) {
		validator.addFinding("request_id", "malformed", request.ID, allowedRequestID)
	}
	if request.Object == nil {
		validator.checkDeletion(snapshot, request)
		return validator.findings
	}
	if request.Object.Kind() != request.Kind || request.Object.ObjectName() != request.Name {
		validator.addFinding("name", "the object does not match the kind and name of the request", request.Object.ObjectName(), request.Name)
	}
	validator.checkObject(snapshot, request.Object)
	if validator.findings.Len() == 0 {
		validator.checkSnapshotSize(snapshot, request)
	}
	return validator.findings
}

func (validator *validator) addFinding(key, text, value, allowed string) {
	validator.findings = validator.findings.With(findings.Finding{Key: key, Text: text, Found: value, Allowed: allowed})
}

func (validator *validator) checkObject(snapshot Snapshot, object Object) {
	switch object := object.(type) {
	case Deployment:
		validator.checkDeployment(snapshot, object)
	case Model:
		validator.checkName("name", object.Name)
	case Version:
		validator.checkVersion(snapshot, object)
	case Routing:
		validator.checkRouting(snapshot, object)
	case Organisation:
		validator.checkOrganisation(snapshot, object)
	case Rollout:
		validator.checkRollout(snapshot, object)
	default:
		validator.addFinding("kind", "unknown kind of object", object.Kind(), "")
	}
}

func (validator *validator) checkDeployment(snapshot Snapshot, deployment Deployment) {
	validator.checkName("name", deployment.Name)
	validator.checkOneOf("type", deployment.Type, DeploymentEngine, DeploymentService)
	if deployment.Type == DeploymentEngine {
		checkReference[Model](validator, snapshot, "model", deployment.Model)
		validator.checkOneOf("policy", deployment.Policy, PolicyLessTime, PolicyFewerOriginBytes)
	}
	if deployment.Type == DeploymentService && deployment.Model != "" {
		validator.addFinding("model", "a service has no model", deployment.Model, "nothing")
	}
	validator.checkRange("origin_link_share", deployment.OriginLinkShare, 0, 1)
	validator.checkRange("minimum_serving_share", deployment.MinimumServingShare, 0, 1)
	validator.checkRange("canary_hosts", float64(deployment.CanaryHosts), 0, maxCanaryHosts)
	validator.checkRange("objectives.answered_share", deployment.Objectives.AnsweredShare, 0, 1)
	validator.checkRange("objectives.first_token_ms", float64(deployment.Objectives.FirstTokenMS), 0, maxMilliseconds)
	validator.checkRange("objectives.token_gap_ms", float64(deployment.Objectives.TokenGapMS), 0, maxMilliseconds)
	validator.checkRange("objectives.replicas_ms", float64(deployment.Objectives.ReplicasMS), 0, maxMilliseconds)
}

func (validator *validator) checkVersion(snapshot Snapshot, version Version) {
	validator.checkName("name", version.Name)
	checkReference[Model](validator, snapshot, "model", version.Model)
	validator.checkOneOf("type", version.Type, VersionWhole, VersionAdapter)
	validator.checkDigest("manifest_digest", version.ManifestDigest)
	if version.Size <= 0 {
		validator.addFinding("size", "out of range", strconv.FormatInt(version.Size, 10), "a whole number of bytes above 0")
	}
	validator.checkBase(snapshot, version)
	published, _, exists := Lookup[Version](snapshot, version.Name)
	if exists && published != version {
		validator.addFinding("name", "a published version is never changed", version.Name, "a new name")
	}
}

func (validator *validator) checkBase(snapshot Snapshot, version Version) {
	if version.Type != VersionAdapter {
		if version.Base != "" {
			validator.addFinding("base", "only an adapter has a base", version.Base, "nothing")
		}
		return
	}
	base, exists := checkReference[Version](validator, snapshot, "base", version.Base)
	if exists && (base.Type != VersionWhole || base.Model != version.Model) {
		validator.addFinding("base", "not a whole version of the same model", version.Base, "a whole version of model "+version.Model)
	}
}

func (validator *validator) checkRouting(snapshot Snapshot, routing Routing) {
	deployment, exists := checkReference[Deployment](validator, snapshot, "deployment", routing.Deployment)
	validator.checkOneOf("spill", routing.Spill, SpillDataCentre, SpillRegion, SpillAnywhere)
	if exists && (deployment.Type == DeploymentEngine || routing.Version != "") {
		validator.checkVersionReference(snapshot, "version", routing.Version, deployment)
	}
}

// checkVersionReference reports a version that does not exist or that belongs to
// another model than the deployment.
func (validator *validator) checkVersionReference(snapshot Snapshot, key, name string, deployment Deployment) {
	version, exists := checkReference[Version](validator, snapshot, key, name)
	if exists && version.Model != deployment.Model {
		validator.addFinding(key, "a version of another model", name, "a version of model "+deployment.Model)
	}
}

func (validator *validator) checkOrganisation(snapshot Snapshot, organisation Organisation) {
	validator.checkName("name", organisation.Name)
	validator.checkDigest("token_hash", organisation.TokenHash)
	if !(organisation.Weight > 0 && organisation.Weight <= maxWeight) {
		validator.addFinding("weight", "out of range", formatNumber(organisation.Weight), "a number above 0, at most "+formatNumber(maxWeight))
	}
	validator.checkRange("requests_per_s", organisation.RequestsPerSecond, 0, maxRequestsRate)
	validator.checkRange("in_flight", float64(organisation.InFlight), 0, maxInFlight)
	for _, other := range All[Organisation](snapshot) {
		if other.Name != organisation.Name && other.TokenHash == organisation.TokenHash {
			validator.addFinding("token_hash", "the token belongs to another organisation", other.Name, "a unique token")
		}
	}
}

func (validator *validator) checkRollout(snapshot Snapshot, rollout Rollout) {
	deployment, exists := checkReference[Deployment](validator, snapshot, "deployment", rollout.Deployment)
	validator.checkOneOf("state", rollout.State, RolloutRunning, RolloutPaused, RolloutStopped, RolloutDone, RolloutUndone)
	if !exists {
		return
	}
	if deployment.Type != DeploymentEngine {
		validator.addFinding("deployment", "a service has no versions", rollout.Deployment, "a deployment of type engine")
		return
	}
	validator.checkVersionReference(snapshot, "version", rollout.Version, deployment)
	if rollout.Previous != "" {
		validator.checkVersionReference(snapshot, "previous", rollout.Previous, deployment)
	}
}

// checkDeletion reports the objects that still refer to the object to be deleted. An
// empty name is no reference.
func (validator *validator) checkDeletion(snapshot Snapshot, request Request) {
	if request.Name == "" {
		validator.checkName("name", request.Name)
		return
	}
	for _, entry := range snapshot.Entries() {
		for _, reference := range referencedObjects(entry.Object) {
			if reference.kind == request.Kind && reference.name == request.Name {
				validator.addFinding("name", "still in use", request.Name,
					fmt.Sprintf("delete or change %s %s first", entry.Object.Kind(), entry.Object.ObjectName()))
				break
			}
		}
	}
}

// referencedObjects returns the keys of the objects that the object refers to. A
// key has an empty name if the reference is not set.
func referencedObjects(object Object) []objectKey {
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

// checkSnapshotSize reports a change that would make the whole configuration
// exceed MaxSnapshotBytes.
func (validator *validator) checkSnapshotSize(snapshot Snapshot, request Request) {
	next, err := snapshot.With(Change{Revision: snapshot.Revision + 1, Kind: request.Kind, Name: request.Name, Object: request.Object})
	if err != nil {
		return
	}
	if size := len(mustEncode(next.Entries())); size > MaxSnapshotBytes {
		validator.addFinding("name", "the whole configuration would be too large", fmt.Sprintf("%d bytes", size),
			fmt.Sprintf("at most %d bytes", MaxSnapshotBytes))
	}
}

func (validator *validator) checkName(key, name string) {
	if !namePattern.MatchString(name) {
		validator.addFinding(key, "malformed name", name, allowedNames)
	}
}

func (validator *validator) checkDigest(key, digest string) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(digest) != digestHexLength || hex.EncodeToString(raw) != digest {
		validator.addFinding(key, "not a digest", digest, "64 lower-case hex digits")
	}
}

func (validator *validator) checkOneOf(key, value string, allowed ...string) {
	text := ""
	for i, option := range allowed {
		if option == value {
			return
		}
		if i > 0 {
			text += ", "
		}
		text += option
	}
	validator.addFinding(key, "not one of the allowed values", value, text)
}

// checkRange reports a value outside the range. Its condition is negated so that
// it also reports NaN.
func (validator *validator) checkRange(key string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) {
		validator.addFinding(key, "out of range", formatNumber(value), "a number from "+formatNumber(minimum)+" to "+formatNumber(maximum))
	}
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}

// checkReference looks up the object of type T with the name and reports a name
// that does not exist.
func checkReference[T Object](validator *validator, snapshot Snapshot, key, name string) (T, bool) {
	object, _, exists := Lookup[T](snapshot, name)
	if !exists {
		validator.addFinding(key, object.Kind()+" does not exist", name, "the name of a "+object.Kind())
	}
	return object, exists
}
