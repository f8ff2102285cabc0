package beechrecord

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/beechring/beechring/internal/platform/beechstore"
)

var (
	testKey  = Key{Workspace: "desk", Name: "renewal-7"}
	testBody = BodySum{1}
)

func TestClaimThenRepeat(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := clockwork.NewRealClock()
	r := New(beechstore.NewFake(clock), clock, Settings{})
	defer r.Close()

	granted, ok := r.Claim(ctx, testKey, testBody, "one").(Granted)
	is.True(ok)
	is.Equal(r.Claim(ctx, testKey, BodySum{2}, "two"), Mismatch{RequestID: "one"})
	is.NoErr(r.Finish(ctx, testKey, granted.Token, Ran{Status: 200, ContentType: "text/plain", Body: []byte("booked")}))
	is.Equal(r.Claim(ctx, testKey, testBody, "three"), Done{RequestID: "one", Status: 200, ContentType: "text/plain", Body: []byte("booked"), Complete: true})
}
