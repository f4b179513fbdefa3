// Package loopback reserves loopback addresses for tests and processes that listen on ports which
// they learn before they open them.
package loopback

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
)

const (
	// FirstPort is the first of the ports that a reserved IP address offers. They lie below the range
	// from which the kernel chooses ports (32768 and above on Linux), so no other socket gets one by
	// chance.
	FirstPort = 18700
	// reservationPort is where a reserved IP address is held.
	reservationPort = FirstPort - 1
)

// The reserved IP addresses are 127.224.0.1 to 127.253.255.254. Runs of the soaker use lower ones.
const (
	firstOctet  = 224
	octets      = 30
	perOctet    = 256 * perNetwork
	perNetwork  = 254
	addresses   = octets * perOctet
	perProcess  = 64 // between the first addresses that processes with successive IDs try
	maxAttempts = 10_000
)

// held are the listeners that hold this process's IP addresses.
var (
	mu   sync.Mutex
	next = os.Getpid() * perProcess
	held []net.Listener
)

// Reserve returns a loopback IP address that is returned only once, in this process and in others,
// until this process ends.
func Reserve() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	var err error
	for range maxAttempts {
		ip := address(next)
		next++
		var l net.Listener
		if l, err = net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(reservationPort))); err == nil {
			held = append(held, l)
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address is left: %w", err)
}

// address returns the IP address with a number.
func address(number int) string {
	n := number % addresses
	return fmt.Sprintf("127.%d.%d.%d", firstOctet+n/perOctet, n/perNetwork%256, 1+n%perNetwork)
}

// Port returns the address of a port that a reserved IP address offers, counted from 0.
func Port(ip string, number int) string {
	return net.JoinHostPort(ip, strconv.Itoa(FirstPort+number))
}

// Listen listens on an IP address of its own.
func Listen() (net.Listener, error) {
	ip, err := Reserve()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", Port(ip, 0))
}
