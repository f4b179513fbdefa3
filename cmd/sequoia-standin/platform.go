package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/standin/platform"
)

const platformHelp = `Serve the platform's API.

Holds objects in memory only; they are lost on exit. PUT /faults sets the faults
to inject and GET /counts returns the call counts; docs/PLATFORM.md describes
the protocol.`

func platformCommand(app *kingpin.Application) (string, func(*launcher.Log)) {
	cmd := app.Command("platform", platformHelp)
	listen := cmd.Flag("listen", "Address to serve on.").Default("127.0.0.1:7070").String()
	seed := cmd.Flag("seed", "Seed that selects the responses to lose.").Default("1").Uint64()
	return cmd.FullCommand(), func(logs *launcher.Log) {
		log := logs.New("platform")
		p := platform.New(sequoiasill.NewSystemClock(), *seed, nil)
		l := launcher.Listen("listen", *listen)
		log.Info("serving", "address", l.Addr())
		go func() {
			launcher.WaitForSignal()
			_ = p.Close()
		}()
		if err := p.Serve(l); err != nil {
			log.Error("stopped serving", "error", err)
			os.Exit(1)
		}
	}
}
