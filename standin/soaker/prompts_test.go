package soaker

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sequoiasill.dev/sequoiasill"
)

func TestPromptChecker(t *testing.T) {
	const part = "dead1"
	crash := func(p *promptChecker, n int) {
		for i := range n {
			p.recordCrash(sequoiasill.Millis(1000+i), part)
		}
	}
	arrive := func(p *promptChecker, at sequoiasill.Millis, n int) {
		for range n {
			p.recordArrival(at, part, 1, "")
		}
	}
	sound := func(p *promptChecker, at sequoiasill.Millis, part string, served, lost int) {
		for i := range served + lost {
			p.recordSound(at, part, i < served)
		}
	}
	tests := map[string]struct {
		play func(p *promptChecker)
		want int // violations
	}{
		"four crashes":                      {func(p *promptChecker) { crash(p, 4); arrive(p, 9000, 90) }, 0},
		"shortly after the fifth":           {func(p *promptChecker) { crash(p, 5); arrive(p, 4003, 90) }, 0},
		"three late ones":                   {func(p *promptChecker) { crash(p, 5); arrive(p, 4004, 3) }, 0},
		"four late ones":                    {func(p *promptChecker) { crash(p, 5); arrive(p, 4004, 4) }, 1},
		"from an entry that just restarted": {func(p *promptChecker) { crash(p, 5); p.recordDisruption(2000, 1); arrive(p, 4999, 90) }, 0},
		"from an entry that restarted":      {func(p *promptChecker) { crash(p, 5); p.recordDisruption(2000, 1); arrive(p, 5000, 4) }, 1},
		"sound calls as usual":              {func(p *promptChecker) { crash(p, 5); sound(p, 0, "", 40, 0); sound(p, 7004, part, 20, 20) }, 0},
		"sound calls less often":            {func(p *promptChecker) { crash(p, 5); sound(p, 0, "", 40, 0); sound(p, 7004, part, 19, 21) }, 1},
		"fewer sound calls than count":      {func(p *promptChecker) { crash(p, 5); sound(p, 0, "", 40, 0); sound(p, 7004, part, 0, 19) }, 0},
		"sound calls before it is checked":  {func(p *promptChecker) { crash(p, 5); sound(p, 0, "", 40, 0); sound(p, 7003, part, 0, 40) }, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPromptChecker()
			tc.play(p)
			if diff := cmp.Diff(tc.want, len(p.results())); diff != "" {
				t.Errorf("number of violations (-want +got):\n%s\n%v", diff, p.results())
			}
		})
	}
}
