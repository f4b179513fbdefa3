// Command sequoia-standin runs simulations of the systems around sequoiasill: the
// platform, a model engine and a plain service.
package main

import (
	"github.com/alecthomas/kingpin/v2"

	"sequoiasill.dev/sequoiasill/cmd/internal/launcher"
)

func main() {
	app := kingpin.New("sequoia-standin", "Stand-ins of the platform, of a model engine and of a plain service.")
	logs := launcher.LogFlags(app)
	commands := map[string]func(*launcher.Log){}
	for _, add := range []func(*kingpin.Application) (string, func(*launcher.Log)){
		platformCommand, engineCommand, serviceCommand,
	} {
		name, run := add(app)
		commands[name] = run
	}
	commands[launcher.Parse(app)](logs)
}
