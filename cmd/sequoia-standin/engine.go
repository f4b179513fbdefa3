package main

import (
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cespare/xxhash/v2"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
	"sequoiasill.dev/sequoiasill/platform/caller"
	"sequoiasill.dev/sequoiasill/platform/lister"
	"sequoiasill.dev/sequoiasill/standin/engine"
)

const engineHelp = `Serve a model engine.

Its tokens are a function of the prompt alone, so any engine can resume a stream
of another. PUT /faults injects faults; docs/ENGINE.md describes the protocol. A
prompt that crashes it ends the process with exit code 3.`

// exitCrash is the exit code after a prompt that crashes the engine.
const exitCrash = 3

// platformTimeout bounds calls to the platform.
const platformTimeout = 2 * sequoiasill.Second

func engineCommand(app *kingpin.Application) (string, func(*launcher.Log)) {
	cmd := app.Command("engine", engineHelp)
	reg := registerFlags(cmd)
	slots := cmd.Flag("slots", "Sequences in a batch.").Default("16").Int()
	fencing := cmd.Flag("fencing", "Refuse orders with an old epoch.").Bool()
	lag := cmd.Flag("lag", "Age of load reports.").Default("500ms").Duration()
	speed := engine.NominalSpeed()
	cmd.Flag("step", "Time of a step with one sequence.").Default(speed.Step.String()).DurationVar(&speed.Step)
	cmd.Flag("step-per-running", "Time that each further sequence adds.").Default(speed.StepPerRunning.String()).DurationVar(&speed.StepPerRunning)
	return cmd.FullCommand(), func(logs *launcher.Log) {
		log := logs.New("engine").With("name", reg.instance.Name)
		clock := sequoiasill.NewSystemClock()
		e := engine.New(engine.Options{
			Name: reg.instance.Name, Version: reg.instance.Version, Slots: *slots, Speed: speed,
			Fencing: *fencing, ReportInterval: *lag, Seed: xxhash.Sum64String(reg.instance.Name),
			Crash: func() {
				log.Error("crashed by a prompt")
				os.Exit(exitCrash)
			},
		}, clock)
		l := launcher.Listen("listen", reg.listen)
		reg.register(log, l.Addr().String())
		go func() {
			launcher.WaitForSignal()
			e.Close()
			time.Sleep(10 * time.Millisecond)
			os.Exit(0)
		}()
		log.Info("serving", "address", l.Addr())
		if err := e.Serve(l); err != nil {
			log.Error("stopped serving", "error", err)
		}
		select {}
	}
}

// registration registers a stand-in in the platform's instance list.
type registration struct {
	listen   string
	platform string
	instance sequoiasill.Instance
	class    string
}

func registerFlags(cmd *kingpin.CmdClause) *registration {
	r := &registration{}
	cmd.Flag("listen", "Address to serve on.").Default("127.0.0.1:0").StringVar(&r.listen)
	cmd.Flag("platform", "Address of the platform's API at which this instance registers.").StringVar(&r.platform)
	cmd.Flag("name", "Name of this instance.").Required().StringVar(&r.instance.Name)
	cmd.Flag("zone", "Availability zone of this instance.").Required().StringVar(&r.instance.Zone)
	cmd.Flag("pool", "Pool that this instance belongs to.").Required().StringVar(&r.instance.Pool)
	cmd.Flag("version", "Version that this instance serves.").Default("v1").StringVar(&r.instance.Version)
	cmd.Flag("class", "Class of the instance: reclaimable or onDemand.").Default("reclaimable").
		EnumVar(&r.class, string(sequoiasill.Reclaimable), string(sequoiasill.OnDemand))
	return r
}

func (r *registration) register(log logger, address string) {
	if r.platform == "" {
		return
	}
	i := r.instance
	i.Address, i.Role, i.Class = address, sequoiasill.RoleUpstream, sequoiasill.InstanceClass(r.class)
	if err := lister.New(caller.New(r.platform, platformTimeout)).Register(i); err != nil {
		log.Error("cannot register with the platform", "error", err)
		os.Exit(1)
	}
}

type logger interface {
	Error(msg string, args ...any)
}
