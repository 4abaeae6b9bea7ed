package radishserve

import (
	"context"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
	"radishramp.example/radishramp/pkg/radishpermit"
)

// permitTimeout is the timeout of a call to the steward. It is short because a cold target is not worth a long wait.
const permitTimeout = 200 * time.Millisecond

// permitSource obtains permits from the steward, which is this VM or a peer.
type permitSource struct {
	server *Server
}

// Acquire implements radishtarget.PermitSource.
func (s permitSource) Acquire(ctx context.Context, target string, ttl time.Duration) (radishpermit.Permit, error) {
	steward := s.server.stewardName()
	if steward == s.server.Settings.VM.Name {
		return s.server.steward.Acquire(target, ttl)
	}
	if steward == "" {
		return radishpermit.Permit{}, radish.ErrLeaseLost
	}
	// The permit's lifetime is counted from before the request, so that the permit never expires later here than at the
	// steward.
	requestedAt := time.Now()
	ttl = min(ttl, s.server.Settings.Permit.MaxPermit)
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	res, err := s.server.peerNode.Call(ctx, steward, &radishpeerpb.Request{Body: &radishpeerpb.Request_Permit{
		Permit: &radishpeerpb.PermitRequest{Target: target, TtlMs: uint32(ttl.Milliseconds())},
	}})
	if err != nil {
		return radishpermit.Permit{}, err
	}
	reply := res.GetPermit()
	if !reply.GetGranted() {
		return radishpermit.Permit{}, radish.ErrNoCapacity
	}
	return radishpermit.Permit{Target: target, ID: reply.GetId(), Term: reply.GetTerm(), NotAfter: requestedAt.Add(ttl)}, nil
}

// Release implements radishtarget.PermitSource.
func (s permitSource) Release(p radishpermit.Permit) {
	steward := s.server.stewardName()
	if steward == s.server.Settings.VM.Name {
		s.server.steward.Release(p.Target, p.ID, p.Term)
		return
	}
	// The caller does not wait for the release: if it is lost, the permit only uses capacity until it expires.
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		defer cancel()
		_, _ = s.server.peerNode.Call(ctx, steward, &radishpeerpb.Request{Body: &radishpeerpb.Request_Release{
			Release: &radishpeerpb.PermitRelease{Target: p.Target, Id: p.ID, Term: p.Term},
		}})
	}()
}
