package forwarder

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func newTestStream(data []byte) *Stream {
	return &Stream{reader: bufio.NewReaderSize(bytes.NewReader(data), readBufferBytes)}
}

func TestNext(t *testing.T) {
	text := "id: 3\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\\u00e9 \"},\"finish_reason\":\"stop\"}]}\r\n\r\n: remark\n\ndata: [DONE]\n\n"
	s := newTestStream([]byte(text))
	for _, want := range []Event{{ID: 3, Text: "aé ", FinishReason: "stop"}, {Done: true}} {
		got, attemptErr := s.Next()
		if attemptErr != nil {
			t.Fatalf("Next: %v", attemptErr)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("event (-want +got):\n%s", diff)
		}
	}
	if _, attemptErr := s.Next(); attemptErr == nil {
		t.Error("a stream that ended has another event")
	}
}

func TestLongEvent(t *testing.T) {
	text := strings.Repeat("x", 3*readBufferBytes)
	s := newTestStream([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n"))
	if ev, attemptErr := s.Next(); attemptErr != nil || ev.Text != text {
		t.Errorf("event of %d characters, %v, want %d", len(ev.Text), attemptErr, len(text))
	}
}

func TestBrokenStreams(t *testing.T) {
	for name, text := range map[string]string{
		"cut event": "data: {\"choices\"", "not JSON": "data: x\n\n", "no choice": "data: {}\n\n",
		"long line": "data: " + strings.Repeat("x", 2*maxLineBytes) + "\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			if ev, attemptErr := newTestStream([]byte(text)).Next(); attemptErr == nil {
				t.Errorf("event %+v of a broken stream", ev)
			}
		})
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := newTestStream(data)
		for range 100 {
			if _, attemptErr := s.Next(); attemptErr != nil {
				return
			}
		}
	})
}
