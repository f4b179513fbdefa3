// Package scenarios has end-to-end tests: the scripts under testdata run separate
// processes, the other tests and the benchmarks mostly deployments within one process.
package scenarios

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sequoiasill.dev/sequoiasill/standin/loopback"
)

// awaitTimeout is the timeout of waits for a condition.
const awaitTimeout = 30 * time.Second

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sequoiasill")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	binaries = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binaries+string(os.PathListSeparator)+env.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"freeport": setFreePorts,
			"await":    awaitStatusCommand,
			"http":     sendRequest,
		},
	})
}

// setFreePorts sets each environment variable to an unused loopback address:
// freeport VARIABLE...
func setFreePorts(ts *testscript.TestScript, _ bool, args []string) {
	ip, err := loopback.Reserve()
	ts.Check(err)
	for i, name := range args {
		ts.Setenv(name, loopback.Port(ip, i))
	}
}

// awaitStatusCommand waits until a GET request to the URL gets the status:
// await STATUS URL
func awaitStatusCommand(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: await STATUS URL")
	}
	deadline := time.Now().Add(awaitTimeout)
	last := ""
	for time.Now().Before(deadline) {
		resp, err := http.Get(args[1])
		if err == nil {
			_ = resp.Body.Close()
			last = fmt.Sprint(resp.StatusCode)
			if last == args[0] {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s responded with status %q, not %s", args[1], last, args[0])
}

// sendRequest sends a request and prints the status, headers and body of the response:
// http METHOD URL [BODY] [HEADER=VALUE]...
func sendRequest(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: http METHOD URL [BODY] [HEADER=VALUE]...")
	}
	body := ""
	if len(args) > 2 {
		body = args[2]
	}
	req, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	for _, h := range args[min(3, len(args)):] {
		name, value, _ := strings.Cut(h, "=")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if neg && err != nil {
		return
	}
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(resp.Body)
	ts.Check(err)
	_, _ = fmt.Fprintf(ts.Stdout(), "status %d\n", resp.StatusCode)
	for name := range resp.Header {
		_, _ = fmt.Fprintf(ts.Stdout(), "%s: %s\n", name, resp.Header.Get(name))
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "\n%s\n", responseBody)
}
