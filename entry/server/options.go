// Package server assembles an entry: the HTTP servers for callers and operators,
// the gRPC server for other entries, and the components behind them.
package server

import (
	"fmt"
	"net"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/keyring"
)

// Options are the settings of an entry.
type Options struct {
	Name            string
	Zone            string
	Listen          string            // callers' address
	Operators       string            // operators' address
	Peer            string            // address for other entries: gossip over UDP, gRPC over TCP
	PeerKey         string            // secret shared by all entries; authenticates gossip
	Peers           map[string]string // entries to join besides those on the platform's list; name to address
	CallerTLS       keyring.Files     // for callers; the authorities stay empty
	PeerTLS         keyring.Files     // between entries; all three files are needed
	Buckets         int               // number of journal buckets, the same on all entries
	Platform        string            // address of the platform's API
	BodyLimit       int               // bytes
	HeaderLimit     int               // bytes
	ReadTimeout     sequoiasill.Millis
	DefaultDeadline sequoiasill.Millis
	StallTimeout    sequoiasill.Millis
	DialTimeout     sequoiasill.Millis
	StoreTimeout    sequoiasill.Millis
	WatchTimeout    sequoiasill.Millis
	ListInterval    sequoiasill.Millis
	LoadInterval    sequoiasill.Millis
	NoticeInterval  sequoiasill.Millis
	QuickTokens     int
	StopTimeout     sequoiasill.Millis // maximum duration of a graceful shutdown
}

// DefaultOptions returns the default options. The name, zone and addresses have
// no default.
func DefaultOptions() Options {
	return Options{
		BodyLimit:       4 << 20,
		HeaderLimit:     16 << 10,
		ReadTimeout:     30 * sequoiasill.Second,
		DefaultDeadline: 10 * sequoiasill.Minute,
		StallTimeout:    10 * sequoiasill.Second,
		DialTimeout:     sequoiasill.Second,
		StoreTimeout:    2 * sequoiasill.Second,
		WatchTimeout:    20 * sequoiasill.Second,
		ListInterval:    sequoiasill.Second,
		LoadInterval:    500 * sequoiasill.Millis(1),
		NoticeInterval:  200 * sequoiasill.Millis(1),
		Buckets:         64,
		QuickTokens:     64,
		StopTimeout:     30 * sequoiasill.Second,
	}
}

// maxBuckets is the maximum number of journal buckets.
const maxBuckets = 65536

// Check validates the options and returns one message for each error.
func (o Options) Check() []string {
	var faults []string
	if o.Name == "" {
		faults = append(faults, "name is empty; give the instance's name")
	}
	if o.Zone == "" {
		faults = append(faults, "zone is empty; give the instance's availability zone")
	}
	for _, a := range []struct{ setting, address string }{
		{"listen", o.Listen}, {"operators", o.Operators}, {"peer", o.Peer}, {"platform", o.Platform},
	} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			faults = append(faults, fmt.Sprintf("%s: %q is not an address such as 10.0.0.1:8080", a.setting, a.address))
		}
	}
	for _, s := range []struct {
		setting  string
		duration sequoiasill.Millis
	}{
		{"readTimeout", o.ReadTimeout}, {"defaultDeadline", o.DefaultDeadline}, {"stallTimeout", o.StallTimeout},
		{"dialTimeout", o.DialTimeout}, {"storeTimeout", o.StoreTimeout}, {"watchSpan", o.WatchTimeout},
		{"listEvery", o.ListInterval}, {"loadEvery", o.LoadInterval}, {"noticeEvery", o.NoticeInterval}, {"stopSpan", o.StopTimeout},
	} {
		if s.duration <= 0 {
			faults = append(faults, fmt.Sprintf("%s must be longer than 0", s.setting))
		}
	}
	if o.CallerTLS.Configured() && (o.CallerTLS.Certificate == "" || o.CallerTLS.Key == "") {
		faults = append(faults, "TLS towards callers needs a certificate and a key")
	}
	if p := o.PeerTLS; p.Configured() && (p.Certificate == "" || p.Key == "" || p.Authorities == "") {
		faults = append(faults, "TLS between entries needs a certificate, a key and the authorities")
	}
	if o.Buckets <= 0 || o.Buckets > maxBuckets {
		faults = append(faults, fmt.Sprintf("buckets must be between 1 and %d", maxBuckets))
	}
	if o.BodyLimit <= 0 || o.HeaderLimit <= 0 {
		faults = append(faults, "the body and header limits must be above 0")
	}
	return faults
}
