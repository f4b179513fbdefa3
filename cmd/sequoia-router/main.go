// Command sequoia-router is the entry process: it routes callers' requests to
// upstreams.
package main

import (
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/entry/server"
)

func main() {
	app := kingpin.New("sequoia-router", "Routes callers' requests to upstreams. SIGTERM stops it gracefully.")
	opts := server.DefaultOptions()
	logs := launcher.LogFlags(app)
	addFlags(app, &opts)
	launcher.Parse(app)
	launcher.ExitOnFaults(os.Stderr, opts.Check())

	log := logs.New("router").With("entry", opts.Name)
	listeners, opts, err := server.Listen(opts)
	if err != nil {
		launcher.ExitOnFaults(os.Stderr, []string{err.Error()})
	}
	s, err := server.New(opts, listeners, log)
	if err != nil {
		log.Error("not started", "error", err)
		os.Exit(1)
	}
	s.Start()
	select {
	case signal := <-launcher.Signals():
		log.Info("signal", "name", signal)
		s.Stop()
	case <-s.Stopped():
	}
}

func addFlags(app *kingpin.Application, o *server.Options) {
	app.Flag("name", "Name of this instance.").StringVar(&o.Name)
	app.Flag("zone", "Availability zone of this instance.").StringVar(&o.Zone)
	app.Flag("listen", "Address for callers.").Default("127.0.0.1:8080").StringVar(&o.Listen)
	app.Flag("operators", "Address for operators.").Default("127.0.0.1:8081").StringVar(&o.Operators)
	app.Flag("peer", "Address for other entries, for UDP and TCP.").Default("127.0.0.1:8082").StringVar(&o.Peer)
	app.Flag("peer-key", "Key that all entries share and that authenticates gossip.").StringVar(&o.PeerKey)
	app.Flag("tls-certificate", "Certificate towards callers, a PEM file.").StringVar(&o.CallerTLS.Certificate)
	app.Flag("tls-key", "Its key, a PEM file.").StringVar(&o.CallerTLS.Key)
	app.Flag("peer-tls-certificate", "Certificate between entries, a PEM file.").StringVar(&o.PeerTLS.Certificate)
	app.Flag("peer-tls-key", "Its key, a PEM file.").StringVar(&o.PeerTLS.Key)
	app.Flag("peer-tls-authorities", "Authorities whose certificates entries trust, a PEM file.").StringVar(&o.PeerTLS.Authorities)
	app.Flag("peers", "Entry to join besides those on the platform's list, as name=address. May be repeated.").
		StringMapVar(&o.Peers)
	app.Flag("buckets", "Buckets of the journal, the same on all entries.").Default(strconv.Itoa(o.Buckets)).IntVar(&o.Buckets)
	app.Flag("platform", "Address of the platform's API.").StringVar(&o.Platform)
	app.Flag("body-limit", "Largest body of a request in bytes.").Default("4194304").IntVar(&o.BodyLimit)
	app.Flag("header-limit", "Largest header of a request in bytes.").Default("16384").IntVar(&o.HeaderLimit)
	app.Flag("quick-tokens", "Requests of up to this many output tokens are quick.").Default("64").IntVar(&o.QuickTokens)
	for _, f := range []struct {
		name, help string
		target     *sequoiasill.Millis
	}{
		{"read-timeout", "Longest time that a caller may take to send a request.", &o.ReadTimeout},
		{"default-deadline", "Longest time that a request may take.", &o.DefaultDeadline},
		{"stall-timeout", "Longest silence of an upstream within a stream.", &o.StallTimeout},
		{"dial-timeout", "Longest time to connect to an upstream.", &o.DialTimeout},
		{"store-timeout", "Longest time of a call to the platform.", &o.StoreTimeout},
		{"watch-span", "Longest time that a watch waits.", &o.WatchTimeout},
		{"list-every", "Interval between reads of the instance list.", &o.ListInterval},
		{"load-every", "Interval between load reports of upstreams.", &o.LoadInterval},
		{"notice-every", "Interval between checks for a reclaim notice.", &o.NoticeInterval},
		{"stop-span", "Longest graceful shutdown.", &o.StopTimeout},
	} {
		app.Flag(f.name, f.help).Default(f.target.Duration().String()).SetValue(launcher.DurationValue{Target: f.target})
	}
}
