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

// ended is the follower of an entry that has closed its ways to the others.
type ended struct{}

func (ended) Follow(string, sequoiasill.RequestID, string, int) (*generator.Mirror, bool, error) {
	return nil, false, locator.ErrEnding
}

// An entry without ways to the others does not look for what it does not hold: the
// caller is better off elsewhere.
func TestEndingEntryDoesNotLook(t *testing.T) {
	m := members{{Name: "entry-1", Leaving: true}, {Name: "entry-2"}, {Name: "entry-3"}}
	l := locator.New(&generator.Generator{}, m, ended{})
	begin := time.Now()
	if _, found := l.Find("entry-1.ab", "mall", 0); found {
		t.Error("found what nobody holds")
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("looked for %s; handed over requests are looked for for 4 s", took)
	}
}
