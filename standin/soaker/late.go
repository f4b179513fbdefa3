package soaker

import (
	"io"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// lateShare is the share of calls whose request is completed late, 1 in lateShare.
	lateShare = 40
	// maxLateTime bounds the time from the begin of such a request to its last byte. It leaves a part of
	// the caller's timeout for the response.
	maxLateTime = 2500 * time.Millisecond
	// maxLateWork bounds the additional time that such a call takes at its replica, if it runs once.
	maxLateWork = 1500 * time.Millisecond
	// lateSuffix ends the IDs of such calls.
	lateSuffix = "-late"
	// lossSlack is the time after the last byte of a request from which the end of its connection
	// without an answer counts as a loss, also if the call was not passed on.
	lossSlack = 200 * time.Millisecond
)

func isLate(id string) bool { return strings.HasSuffix(id, lateSuffix) }

// lateBody is a body whose last byte is sent late.
type lateBody struct {
	text  string
	delay time.Duration
	whole atomic.Int64 // when the last byte was handed over, in nanoseconds since the epoch, 0 before
}

func newLateBody(text string) *lateBody { return &lateBody{text: text, delay: rand.N(maxLateTime)} }

// Read implements io.Reader.
func (b *lateBody) Read(p []byte) (int, error) {
	switch len(b.text) {
	case 0:
		return 0, io.EOF
	case 1:
		time.Sleep(b.delay)
		b.whole.Store(time.Now().UnixNano())
	}
	n := copy(p, b.text[:max(len(b.text)-1, 1)])
	b.text = b.text[n:]
	return n, nil
}

// wholeFor returns how long all bytes have been sent, 0 if they have not.
func (b *lateBody) wholeFor() time.Duration {
	at := b.whole.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at))
}
