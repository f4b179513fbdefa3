package scenarios

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/apiclient"
	"sequoiasill.dev/sequoiasill/standin/platform"
)

// BenchmarkHandOver measures the time that an entry needs to shut down when the notice is
// too short to finish its streams, so that it hands them over.
func BenchmarkHandOver(b *testing.B) {
	for _, streams := range []int{20, 100, 400} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			for b.Loop() {
				s := startStack(b, 3, 8, 0, 1)
				l := startLoad(apiclient.New(bearerKey, func() []string {
					if s.Entries[0].Server.Ready() {
						return []string{s.Entries[0].Address}
					}
					return s.Ready()
				}), streams/2, 600)
				time.Sleep(500 * time.Millisecond)
				start := time.Now()
				s.Entries[0].Server.Leave(sequoiasill.NewSystemClock().Now() + 500)
				b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "ms-to-end")
				l.check(b)
			}
		})
	}
}

// BenchmarkStoreDown measures idempotent calls while the store is available and while it is
// unavailable.
func BenchmarkStoreDown(b *testing.B) {
	s := startStack(b, 3, 0, 2, 1)
	c := newClient(s)
	for name, down := range map[string]bool{"up": false, "down": true} {
		b.Run(name, func(b *testing.B) {
			s.Platform.SetFaults(platform.Faults{Down: down})
			for b.Loop() {
				response, err := c.Call(http.MethodPost, "/services/orders/stock", nil, nil)
				if err != nil || response.Status != http.StatusOK {
					b.Fatalf("status %d, %v", response.Status, err)
				}
			}
		})
	}
}
