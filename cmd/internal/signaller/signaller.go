// Package signaller handles the signals of a daemon from its start. It is
// initialised before larger packages, whose initialisation takes milliseconds during
// which a signal without a handler would kill the process.
package signaller

import (
	"os"
	"os/signal"
	"syscall"
)

// signalBuffer is the capacity of the channel; one signal of each kind is enough.
const signalBuffer = 4

var incoming = make(chan os.Signal, signalBuffer)

func init() { signal.Notify(incoming, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP) }

// Incoming returns the channel on which SIGINT, SIGTERM and SIGHUP arrive.
func Incoming() <-chan os.Signal { return incoming }
