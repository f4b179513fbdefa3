package dispatcher

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestNumbering(t *testing.T) {
	tests := map[string]struct {
		caller    string // last event of an earlier request of the caller
		delivered []string
		next      string
		want      bool
	}{
		"first event":                                   {next: "7", want: true},
		"next of consecutive events":                    {delivered: []string{"4", "5"}, next: "6", want: true},
		"the last one again":                            {delivered: []string{"4", "5"}, next: "5"},
		"from the start again":                          {delivered: []string{"4", "5"}, next: "1"},
		"gap in consecutive events":                     {delivered: []string{"4", "5"}, next: "7"},
		"gap after the first event of all":              {delivered: []string{"1"}, next: "3"},
		"later event of an unknown numbering":           {delivered: []string{"4"}, next: "7", want: true},
		"later event where IDs count something else":    {delivered: []string{"5", "10", "15"}, next: "19", want: true},
		"earlier event where IDs count something else":  {delivered: []string{"5", "10", "15"}, next: "10"},
		"next after the caller's last event":            {caller: "4", next: "5", want: true},
		"the caller's last event again":                 {caller: "4", next: "4"},
		"gap after the caller's last event and another": {caller: "4", delivered: []string{"5"}, next: "7"},
		"IDs that are no numbers":                       {delivered: []string{"a", "b"}, next: "c", want: true},
		"the same ID that is no number":                 {delivered: []string{"a", "b"}, next: "b"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			n := numbering{last: tc.caller}
			for _, id := range tc.delivered {
				n.record(id)
			}
			if diff := cmp.Diff(tc.want, n.isNext(tc.next)); diff != "" {
				t.Errorf("is next (-want +got):\n%s", diff)
			}
		})
	}
}

func TestEventIDs(t *testing.T) {
	tests := map[string]struct {
		events string
		want   []string
	}{
		"none":                      {"data: a\n\n", nil},
		"several":                   {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}},
		"after the data":            {"data: a\nid: 1\n\n", []string{"1"}},
		"without a space":           {"id:1\n\n", []string{"1"}},
		"carriage returns":          {"id: 1\r\ndata: a\r\n\r\n", []string{"1"}},
		"inside data":               {"data: id: 9\n\n", nil},
		"at the end of data":        {"data: valid:\n\n", nil},
		"other field with the name": {"idx: 9\n\n", nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, slices.Collect(eventIDs([]byte(tc.events)))); diff != "" {
				t.Errorf("IDs (-want +got):\n%s", diff)
			}
		})
	}
}
