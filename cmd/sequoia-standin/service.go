package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/standin/service"
)

const serviceHelp = `Serve a plain service.

Counts executions by Idempotency-Key. GET /executions and PUT /faults are served
at the admin address.`

func serviceCommand(app *kingpin.Application) (string, func(*launcher.Log)) {
	cmd := app.Command("service", serviceHelp)
	reg := registerFlags(cmd)
	admin := cmd.Flag("admin", "Address of the test interface.").Default("127.0.0.1:0").String()
	return cmd.FullCommand(), func(logs *launcher.Log) {
		log := logs.New("service").With("name", reg.instance.Name)
		s := service.New(reg.instance.Name)
		l := launcher.Listen("listen", reg.listen)
		a := launcher.Listen("admin", *admin)
		reg.register(log, l.Addr().String())
		log.Info("serving", "address", l.Addr(), "admin", a.Addr())
		go func() {
			if err := s.ServeAdmin(a); err != nil {
				log.Error("stopped serving", "error", err)
			}
		}()
		go func() {
			launcher.WaitForSignal()
			os.Exit(0)
		}()
		if err := s.Serve(l); err != nil {
			log.Error("stopped serving", "error", err)
		}
	}
}
