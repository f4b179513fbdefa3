package locator_test

import (
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/decide/gossiper"
	"sequoiasill.dev/sequoiasill/entry/generator"
	"sequoiasill.dev/sequoiasill/entry/locator"
)

type members []gossiper.Member

func (m members) Self() gossiper.Member      { return m[0] }
func (m members) Members() []gossiper.Member { return m }

// shutDownFollower is the Follower of an entry that has closed its connections to
// other entries.
type shutDownFollower struct{}

func (shutDownFollower) Follow(string, sequoiasill.RequestID, string, int) (*generator.Mirror, bool, error) {
	return nil, false, locator.ErrShuttingDown
}

// An entry without connections to other entries must not wait for a request that it
// does not hold, as another entry can serve the caller.
func TestEntryThatShutsDownDoesNotPoll(t *testing.T) {
	m := members{{Name: "entry-1", Leaving: true}, {Name: "entry-2"}, {Name: "entry-3"}}
	l := locator.New(&generator.Generator{}, m, shutDownFollower{})
	start := time.Now()
	if _, found := l.Find("entry-1.ab", "mall", 0); found {
		t.Error("found a request that no entry holds")
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("Find took %s; it must not retry for the handover timeout of 4 s", took)
	}
}
