// Command sequoia-controller runs the version moves of services under leases. Every
// entry instance runs one, and any of them can be replaced at any time.
package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/dig"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/control/controller"
	"sequoiasill.dev/sequoiasill/control/observer"
	"sequoiasill.dev/sequoiasill/decide/mover"
	"sequoiasill.dev/sequoiasill/platform/caller"
	"sequoiasill.dev/sequoiasill/platform/storer"
)

type settings struct {
	name     string
	platform string
	entry    string
	timeout  sequoiasill.Millis
}

func (s settings) check() []string {
	var problems []string
	if s.name == "" {
		problems = append(problems, "name is empty; give the instance's name")
	}
	for setting, address := range map[string]string{"platform": s.platform, "entry": s.entry} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			problems = append(problems, fmt.Sprintf("%s: %q is not an address such as 10.0.0.1:8081", setting, address))
		}
	}
	return problems
}

func main() {
	app := kingpin.New("sequoia-controller", "Runs version moves under leases.")
	logs := launcher.LogFlags(app)
	s := settings{timeout: 2 * sequoiasill.Second}
	app.Flag("name", "Name of this instance.").StringVar(&s.name)
	app.Flag("platform", "Address of the platform's API.").StringVar(&s.platform)
	app.Flag("entry", "Operators' address of this instance's entry.").Default("127.0.0.1:8081").StringVar(&s.entry)
	app.Flag("store-timeout", "Longest time of a call to the platform.").Default(s.timeout.Duration().String()).
		SetValue(launcher.DurationValue{Target: &s.timeout})
	launcher.Parse(app)
	launcher.ExitOnFaults(os.Stderr, s.check())

	log := logs.New("controller").With("instance", s.name)
	c := dig.New()
	for _, f := range providers(s, log) {
		if err := c.Provide(f); err != nil {
			log.Error("not started", "error", err)
			os.Exit(1)
		}
	}
	err := c.Invoke(func(running *controller.Controller) {
		log.Info("running")
		log.Info("signal", "name", launcher.WaitForSignal())
		running.Close()
	})
	if err != nil {
		log.Error("not started", "error", err)
		os.Exit(1)
	}
}

func providers(s settings, log hclog.Logger) []any {
	return []any{
		func() hclog.Logger { return log },
		func() sequoiasill.Clock { return sequoiasill.NewSystemClock() },
		func() *storer.Store { return storer.New(caller.New(s.platform, s.timeout), s.timeout) },
		func() *observer.Observer { return observer.New(caller.New(s.entry, s.timeout)) },
		func(store *storer.Store, o *observer.Observer, clock sequoiasill.Clock) *controller.Controller {
			return controller.New(store, o, s.name+"/"+newIncarnation(), mover.DefaultOptions(), clock, log)
		},
	}
}

// newIncarnation returns a random ID that identifies one incarnation of the process.
func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
