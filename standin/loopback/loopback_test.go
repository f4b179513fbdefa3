package loopback_test

import (
	"net"
	"testing"

	"sequoiasill.dev/sequoiasill/standin/loopback"
)

func TestNoAddressIsReservedTwice(t *testing.T) {
	reserved := make(map[string]bool)
	for range 300 {
		ip, err := loopback.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		if parsed := net.ParseIP(ip); reserved[ip] || parsed == nil || !parsed.IsLoopback() {
			t.Fatalf("reserved %s after %d others", ip, len(reserved))
		}
		reserved[ip] = true
	}
}
