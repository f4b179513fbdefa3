package syncer

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill"
)

// Lister reads the platform's instance list.
type Lister interface {
	List() ([]sequoiasill.Instance, error)
}

// PollInstances reads the list at each interval and passes it to handle, until the
// returned function is called.
func PollInstances(l Lister, interval sequoiasill.Millis, log hclog.Logger, handle func([]sequoiasill.Instance)) (stop func()) {
	return poll(interval, func() {
		list, err := l.List()
		if err != nil {
			log.Warn("instance list not read", "error", err)
			return
		}
		handle(list)
	})
}

// LoadClient fetches the load report of an upstream.
type LoadClient interface {
	Load(address string) ([]byte, error)
}

// PollLoads fetches the load reports of the upstreams at each interval and passes
// them to handle, until the returned function is called.
func PollLoads(client LoadClient, interval sequoiasill.Millis, upstreams func() []sequoiasill.Instance, handle func(sequoiasill.Instance, sequoiasill.LoadReport)) (stop func()) {
	return poll(interval, func() {
		var wg sync.WaitGroup
		for _, i := range upstreams() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				b, err := client.Load(i.Address)
				if err != nil {
					return
				}
				if r, err := decodeReport(b); err == nil {
					handle(i, r)
				}
			}()
		}
		wg.Wait()
	})
}

func decodeReport(b []byte) (sequoiasill.LoadReport, error) {
	var w struct {
		Running    int   `json:"running"`
		Waiting    int   `json:"waiting"`
		ReportedAt int64 `json:"reportedAtMillis"`
	}
	if err := json.Unmarshal(b, &w); err != nil {
		return sequoiasill.LoadReport{}, err
	}
	return sequoiasill.LoadReport{Running: w.Running, Waiting: w.Waiting, ReportedAt: sequoiasill.Millis(w.ReportedAt)}, nil
}

// NoticeReader returns the time at which the cloud will stop an instance, or zero if no
// stop is announced.
type NoticeReader interface {
	Notice(name string) (sequoiasill.Millis, error)
}

// PollNotice reads this instance's stop notice at each interval and passes the first
// one to handle, until the returned function is called.
func PollNotice(n NoticeReader, name string, interval sequoiasill.Millis, handle func(stopAt sequoiasill.Millis)) (stop func()) {
	var once sync.Once
	return poll(interval, func() {
		if stopAt, err := n.Notice(name); err == nil && stopAt > 0 {
			once.Do(func() { go handle(stopAt) })
		}
	})
}

// RunEvery calls f at each interval until the returned function is called.
func RunEvery(interval sequoiasill.Millis, f func()) (stop func()) { return poll(interval, f) }

func poll(interval sequoiasill.Millis, f func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(interval.Duration())
		defer tick.Stop()
		for {
			f()
			select {
			case <-done:
				return
			case <-tick.C:
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}
