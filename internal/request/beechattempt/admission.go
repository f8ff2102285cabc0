package beechattempt

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/beechring/beechring/internal/decision/beechadmission"
	"github.com/beechring/beechring/internal/request/beechplace"
)

const (
	// reasonNoRoom tells that more urgent callers need the room.
	reasonNoRoom = "no room beside more urgent calls"
	// commonRoom is the share of a service's servers with room from which on a call goes to another
	// one than the best. With fewer, all gates would send to the same few at the same moment.
	commonRoom = 0.5
)

// shortOfRoom is why a call was refused by admission.
type shortOfRoom struct {
	limits *beechadmission.Limits
	excess time.Duration // of the wait at the server that would have been chosen
}

// admit returns the server for a call that has not been sent yet, which may be another one than the
// given choice, or why the call is refused.
func (r *execution) admit(choice beechplace.Choice) (beechplace.Choice, *shortOfRoom) {
	if r.admitted || r.attempts > 0 || r.call.Model == "" || r.call.LastEventID != "" {
		return choice, nil // also a stream to be resumed, on which engines have already spent work
	}
	d := r.dispatcher
	if !d.admission.Controls(r.call.Service) {
		return choice, nil
	}
	request := r.admissionRequest()
	limits, limited := d.admission.Check(request).(*beechadmission.Limits)
	var refusal *shortOfRoom
	if limited {
		if room, known := d.placer.Room(choice.Server.ID); known && !limits.Admit(room) {
			refusal = &shortOfRoom{limits: limits, excess: limits.Excess(room)}
			if d.placer.RoomShare(r.call.Service, limits.Admit) >= commonRoom {
				if other, found := d.placer.ChooseWhere(r.call, r.triedServers, limits.Admit); found {
					choice, refusal = other, nil
				}
			}
		}
	}
	d.admission.Record(request, beechadmission.Outcome{Unread: choice.PrefillTokens, Refused: refusal != nil})
	r.admitted = refusal == nil
	return choice, refusal
}

// countTooLate counts a call that is refused since it would be too late by itself. Its rank stays in
// demand: less urgent calls would otherwise fill the servers that are too slow for it.
func (r *execution) countTooLate(choice beechplace.Choice) {
	if r.call.Model != "" && r.call.LastEventID == "" && r.dispatcher.admission.Controls(r.call.Service) {
		r.dispatcher.admission.Record(r.admissionRequest(), beechadmission.Outcome{Unread: choice.PrefillTokens, Refused: true})
	}
}

func (r *execution) admissionRequest() beechadmission.Request {
	request := beechadmission.Request{
		Service: r.call.Service, Rank: r.call.Urgency(), Workspace: r.call.Workspace.Name, ID: r.call.ID,
		Objective: r.call.Route.Objective, Prompt: r.call.PromptTokens, Returned: r.call.CameBack, Capacity: r.dispatcher.placer.Capacity(r.call.Service),
	}
	if shared := r.call.SharedParts(); len(shared) > 0 {
		request.Subject = shared[len(shared)-1].ID
	}
	return request
}

// refuseForRoom ends a call that admission refuses.
func (r *execution) refuseForRoom(ctx context.Context, why *shortOfRoom) string {
	fields := []zap.Field{zap.Int("rank", why.limits.Rank), zap.Float64("level", why.limits.Level), zap.Duration("excess", why.excess)}
	if r.dispatcher.admission.NoteRefusal(r.call.Service, why.limits, why.excess) {
		r.dispatcher.log.Info("room is short", append(fields, zap.String("service", r.call.Service))...)
	}
	return r.giveUp(ctx, reasonNoRoom, fields...)
}
