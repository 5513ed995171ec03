package receiver

import (
	"net/http"
	"time"

	"github.com/laburnumshelf/laburnumshelf/internal/request/authenticator"
	"github.com/laburnumshelf/laburnumshelf/internal/request/caller"
	"github.com/laburnumshelf/laburnumshelf/internal/request/recorder"
	"github.com/laburnumshelf/laburnumshelf/internal/request/tallier"
	"github.com/laburnumshelf/laburnumshelf/internal/version/describer"
)

// authenticate returns the organisation of a request, or nil if it has none, and names it in call. If the request needs
// an organisation and has none, it returns a refusal instead. registry is nil if the team has no
// organisations.
func (r *receiver) authenticate(call *caller.Call, req *http.Request, registry *authenticator.Registry, route describer.HostRoute, version int64) (*describer.Organisation, *caller.Answer) {
	if registry == nil {
		return nil, nil
	}
	if !route.Public && r.config.Reliable != nil && !r.config.Reliable() {
		return nil, r.refuseWithoutSettings(call, version)
	}
	var digest describer.KeyDigest
	hasKey := false
	if r.config.Dialect.ReadKey != nil {
		digest, hasKey = r.config.Dialect.ReadKey(req.Header, registry.Team())
	}
	organisation, verdict := registry.Identify(digest, hasKey, route.Public)
	if verdict != authenticator.Unknown {
		if organisation != nil {
			call.Organisation = organisation.Name
		}
		return organisation, nil
	}
	decision := recorder.Decision{
		RequestID:       call.RequestID,
		CallID:          call.CallID,
		Reason:          caller.ReasonUnknownKey,
		Service:         route.Destinations[0].Service,
		Route:           route.Name,
		SettingsVersion: version,
	}
	if hasKey {
		decision.KeyPrefix = digest.Prefix()
	}
	return nil, r.recordDecision(decision, "")
}

// refuseWithoutSettings returns the refusal of a request while the node has no settings that it may
// rely on. version is that of the settings in force, or 0.
func (r *receiver) refuseWithoutSettings(call *caller.Call, version int64) *caller.Answer {
	answer := r.recordDecision(recorder.Decision{
		RequestID:       call.RequestID,
		CallID:          call.CallID,
		Reason:          caller.ReasonNoSettings,
		SettingsVersion: version,
	}, "")
	answer.RetryAfter = noSettingsRetryAfter
	return answer
}

// applyOrganisation sets the fields of call that depend on the organisation, and removes from its
// headers what the caller sent of one. organisation is nil if the request belongs to none.
func (r *receiver) applyOrganisation(call *caller.Call, registry *authenticator.Registry, organisation *describer.Organisation, route describer.HostRoute, now time.Time) {
	r.config.Dialect.RemoveOrganisation(call.Header)
	if organisation == nil {
		return
	}
	r.config.Tally.RecordArrival(now, tallyKey(call))
	if organisation.HasRank {
		call.Priority = caller.NewRankedPriority(organisation.Criticality(), route.Criticality(), call.RequestID, now)
		call.Ranked = true
		call.BelowTop = registry.BelowTop(organisation)
	}
}

// tallyKey returns the key by which the requests of a call's organisation are counted.
func tallyKey(call *caller.Call) tallier.Key {
	return tallier.Key{
		Team:         call.Service.Team,
		Organisation: call.Organisation,
	}
}
