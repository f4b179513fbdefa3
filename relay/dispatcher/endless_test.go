package dispatcher_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"sequoiasill.dev/sequoiasill/decide/rationer"
	"sequoiasill.dev/sequoiasill/relay/dispatcher"
)

// endless answers with bodies that do not end. Each holds on after a number of bytes, until
// the test lets all go on.
type endless struct {
	status  int
	refused bool
	events  bool
	holdAt  int
	goOn    chan struct{}
	held    atomic.Int64 // bytes read of all bodies that are not closed
	kept    atomic.Int64 // connections that may serve on
}

func (e *endless) Send(_ context.Context, a dispatcher.Attempt) (*dispatcher.Answer, error) {
	if !a.MaySend() {
		return nil, sendError{}
	}
	b := &endlessBody{from: e}
	return &dispatcher.Answer{
		Status: e.status, Header: http.Header{}, Genuine: true, Refused: e.refused, Events: e.events, Body: b,
		Close: func(whole bool) {
			e.held.Add(-int64(b.n))
			if whole {
				e.kept.Add(1)
			}
		},
	}, nil
}

type endlessBody struct {
	from *endless
	n    int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.n >= b.from.holdAt {
		<-b.from.goOn
	}
	p = p[:min(len(p), 32<<10)]
	for i := range p {
		p[i] = 'x'
	}
	b.n += len(p)
	b.from.held.Add(int64(len(p)))
	return len(p), nil
}

// A body that does not end is given up, and its connection is closed.
func TestBodyWithoutEndIsGivenUp(t *testing.T) {
	for name, tc := range map[string]struct {
		path string
		e    *endless
		want int
	}{
		"an answer":  {"/once/x", &endless{status: 200}, 502},
		"an error":   {"/once/x", &endless{status: 500}, 502},
		"a refusal":  {"/once/x", &endless{status: 503, refused: true}, 503},
		"one stream": {"/long/x", &endless{status: 200, events: true}, 502},
	} {
		t.Run(name, func(t *testing.T) {
			e := tc.e
			e.holdAt = 1 << 62
			var got reply
			d := newDispatcherWith(e, &usage{began: make(map[string]int)}, rationer.New(rationer.Limits{Window: 1000}, 1), hclog.NewNullLogger())
			d.Serve(context.Background(), call(tc.path, "key"), &got)
			if diff := cmp.Diff(tc.want, got.Status); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if e.kept.Load() > 0 {
				t.Error("the connection was kept")
			}
		})
	}
}

// Bodies without end of many calls at a time take a bounded part of the memory together.
func TestBodiesWithoutEndShareABound(t *testing.T) {
	const calls = 60
	opts := dispatcher.DefaultOptions()
	e := &endless{status: 200, holdAt: opts.AnswerBytes - 1<<20, goOn: make(chan struct{})}
	d := newDispatcherWith(e, &usage{began: make(map[string]int)}, rationer.New(rationer.Limits{Window: 1000}, 1), hclog.NewNullLogger())
	var done sync.WaitGroup
	for range calls {
		done.Go(func() { d.Serve(context.Background(), call("/once/x", "key"), &reply{}) })
	}
	time.Sleep(700 * time.Millisecond)
	if most := int64(opts.BufferBytes + calls*opts.SmallAnswer*2); e.held.Load() > most {
		t.Errorf("%d bytes of answers are held, %d are allowed", e.held.Load(), most)
	}
	close(e.goOn)
	done.Wait()
}
