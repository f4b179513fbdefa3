// Command sequoia-dev runs a complete deployment in one process on loopback: a
// simulated platform, three entries, four engines and two plain services.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/cmd/internal/stacker"
	"sequoiasill.dev/sequoiasill/config/parser"
	"sequoiasill.dev/sequoiasill/decide/mover"
	"sequoiasill.dev/sequoiasill/standin/engine"
)

// The pools that the sample declarations name.
const (
	enginePool  = "assistant"
	servicePool = "orders"
)

func main() {
	app := kingpin.New("sequoia-dev", "Runs platform, entries, engines and services in one process on loopback.")
	logs := launcher.LogFlags(app)
	listen := app.Flag("listen", "Callers' address of the first entry.").Default("127.0.0.1:8080").String()
	platformAt := app.Flag("platform", "Address of the platform's stand-in.").Default("127.0.0.1:7070").String()
	dir := app.Flag("declarations", "Directory of declarations to apply.").Default("examples/dev").String()
	launcher.Parse(app)
	log := logs.New("dev")

	files, err := parser.ReadDir(*dir)
	if err != nil {
		launcher.ExitOnFaults(os.Stderr, []string{"declarations: " + err.Error()})
	}
	cfg, problems := parser.Parse(files, sequoiasill.NewSystemClock().Now())
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
	s, err := stacker.New(stacker.Options{
		Entries: 3, Engines: 4, EnginePool: enginePool, Services: 2, ServicePool: servicePool, Slots: 16,
		Speed: engine.NominalSpeed(), Listen: *listen, PlatformListen: *platformAt, Seed: 1, Log: log,
		Controllers: true, Mover: mover.DefaultOptions(),
	})
	if err == nil {
		_, err = s.Apply(cfg)
	}
	if err != nil {
		log.Error("not started", "error", err)
		os.Exit(1)
	}
	printQuickStart(s)
	launcher.WaitForSignal()
	s.Close()
}

func printQuickStart(s *stacker.Stack) {
	for _, e := range s.Entries {
		fmt.Printf("%s in %s: callers http://%s operators http://%s\n", e.Name, e.Zone, e.Address, e.OperatorAddress)
	}
	fmt.Printf("platform: http://%s\n\nTry:\n\n", s.PlatformAddress)
	fmt.Printf(`curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer dev-key' \
  -d '{"model":"assistant","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Which blank fits this key?"}]}'

curl http://%s/services/orders/cut -H 'Authorization: Bearer dev-key' -H 'Idempotency-Key: cut-1' -d '{"blank":"K7"}'

go run ./cmd/sequoiactl --platform %s --entry %s status
`, s.Entries[0].Address, s.Entries[0].Address, s.PlatformAddress, s.Entries[0].OperatorAddress)
}
