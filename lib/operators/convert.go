package operators

// This file converts configuration objects to their protobuf messages and back.

import (
	"fmt"

	"firford/lib/configurations"
	"firford/lib/operators/wire"
)

// kindNames maps protobuf kinds to kinds of configuration objects.
var kindNames = map[wire.Kind]string{
	wire.Kind_KIND_DEPLOYMENT:   configurations.KindDeployment,
	wire.Kind_KIND_MODEL:        configurations.KindModel,
	wire.Kind_KIND_VERSION:      configurations.KindVersion,
	wire.Kind_KIND_ROUTING:      configurations.KindRouting,
	wire.Kind_KIND_ORGANISATION: configurations.KindOrganisation,
	wire.Kind_KIND_ROLLOUT:      configurations.KindRollout,
}

// KindToWire returns the protobuf value for a kind of configuration objects. It
// returns false for an unknown kind.
func KindToWire(kind string) (wire.Kind, bool) {
	for wireKind, name := range kindNames {
		if name == kind {
			return wireKind, true
		}
	}
	return wire.Kind_KIND_UNSPECIFIED, false
}

// ObjectToWire converts a configuration object to its protobuf message.
func ObjectToWire(object configurations.Object) *wire.Object {
	switch object := object.(type) {
	case configurations.Deployment:
		return &wire.Object{Value: &wire.Object_Deployment{Deployment: deploymentToWire(object)}}
	case configurations.Model:
		return &wire.Object{Value: &wire.Object_Model{Model: &wire.Model{Name: object.Name}}}
	case configurations.Version:
		return &wire.Object{Value: &wire.Object_Version{Version: &wire.Version{
			Name: object.Name, Model: object.Model, Type: object.Type, Base: object.Base,
			ManifestDigest: object.ManifestDigest, Size: object.Size,
		}}}
	case configurations.Routing:
		return &wire.Object{Value: &wire.Object_Routing{Routing: &wire.Routing{
			Deployment: object.Deployment, Version: object.Version, Spill: object.Spill,
		}}}
	case configurations.Organisation:
		return &wire.Object{Value: &wire.Object_Organisation{Organisation: &wire.Organisation{
			Name: object.Name, TokenHash: object.TokenHash, Weight: object.Weight,
			RequestsPerS: object.RequestsPerSecond, InFlight: int32(object.InFlight),
		}}}
	case configurations.Rollout:
		return &wire.Object{Value: &wire.Object_Rollout{Rollout: rolloutToWire(object)}}
	default:
		return &wire.Object{}
	}
}

func deploymentToWire(deployment configurations.Deployment) *wire.Deployment {
	return &wire.Deployment{
		Name: deployment.Name, Type: deployment.Type, Model: deployment.Model, Policy: deployment.Policy,
		OriginLinkShare: deployment.OriginLinkShare, MinimumServingShare: deployment.MinimumServingShare,
		CanaryHosts: int32(deployment.CanaryHosts), Fences: deployment.Fences,
		Objectives: &wire.Objectives{
			AnsweredShare: deployment.Objectives.AnsweredShare, FirstTokenMs: deployment.Objectives.FirstTokenMS,
			TokenGapMs: deployment.Objectives.TokenGapMS, ReplicasMs: deployment.Objectives.ReplicasMS,
		},
	}
}

func rolloutToWire(rollout configurations.Rollout) *wire.Rollout {
	return &wire.Rollout{
		Deployment: rollout.Deployment, Version: rollout.Version, Previous: rollout.Previous,
		State: rollout.State, Reason: rollout.Reason, StartedBy: rollout.StartedBy,
	}
}

// ObjectFromWire converts a protobuf message to a configuration object. It fails
// if the message is empty or of an unknown kind.
func ObjectFromWire(object *wire.Object) (configurations.Object, error) {
	switch value := object.GetValue().(type) {
	case *wire.Object_Deployment:
		return deploymentFromWire(value.Deployment), nil
	case *wire.Object_Model:
		return configurations.Model{Name: value.Model.GetName()}, nil
	case *wire.Object_Version:
		version := value.Version
		return configurations.Version{
			Name: version.GetName(), Model: version.GetModel(), Type: version.GetType(), Base: version.GetBase(),
			ManifestDigest: version.GetManifestDigest(), Size: version.GetSize(),
		}, nil
	case *wire.Object_Routing:
		routing := value.Routing
		return configurations.Routing{
			Deployment: routing.GetDeployment(), Version: routing.GetVersion(), Spill: routing.GetSpill(),
		}, nil
	case *wire.Object_Organisation:
		organisation := value.Organisation
		return configurations.Organisation{
			Name: organisation.GetName(), TokenHash: organisation.GetTokenHash(), Weight: organisation.GetWeight(),
			RequestsPerSecond: organisation.GetRequestsPerS(), InFlight: int(organisation.GetInFlight()),
		}, nil
	case *wire.Object_Rollout:
		rollout := value.Rollout
		return configurations.Rollout{
			Deployment: rollout.GetDeployment(), Version: rollout.GetVersion(), Previous: rollout.GetPrevious(),
			State: rollout.GetState(), Reason: rollout.GetReason(), StartedBy: rollout.GetStartedBy(),
		}, nil
	default:
		return nil, fmt.Errorf("the message contains no object of a known kind (%T)", value)
	}
}

func deploymentFromWire(deployment *wire.Deployment) configurations.Deployment {
	objectives := deployment.GetObjectives()
	return configurations.Deployment{
		Name: deployment.GetName(), Type: deployment.GetType(), Model: deployment.GetModel(), Policy: deployment.GetPolicy(),
		OriginLinkShare: deployment.GetOriginLinkShare(), MinimumServingShare: deployment.GetMinimumServingShare(),
		CanaryHosts: int(deployment.GetCanaryHosts()), Fences: deployment.GetFences(),
		Objectives: configurations.Objectives{
			AnsweredShare: objectives.GetAnsweredShare(), FirstTokenMS: objectives.GetFirstTokenMs(),
			TokenGapMS: objectives.GetTokenGapMs(), ReplicasMS: objectives.GetReplicasMs(),
		},
	}
}
