package platform

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/standin/answerer"
	"sequoiasill.dev/sequoiasill/standin/killer"
)

type wireInstance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Class   string `json:"class"`
	Role    string `json:"role"`
	Pool    string `json:"pool,omitempty"`
	Version string `json:"version,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	StopAt  int64  `json:"stopAtMillis,omitempty"`
}

// Faults are the faults to inject.
type Faults struct {
	Down                     bool   `json:"down"`              // object API responds with 503
	SlowMillis               int64  `json:"slowMillis"`        // delay of each object call
	DropResponsesPerThousand int    `json:"losePerThousand"`   // writes that take effect and whose response is lost
	DropRequestsPerThousand  int    `json:"dropPerThousand"`   // writes that are lost before they take effect, without a response
	ListLagMillis            int64  `json:"listLagMillis"`     // age of the instance list
	RefuseStarts             bool   `json:"refuseStarts"`      // cloud refuses new instances
	WritesPerSecond          int    `json:"writesPerSecond"`   // 0 for no limit
	ReadsPerSecond           int    `json:"readsPerSecond"`    // 0 for no limit
	RefuseZone               string `json:"refuseZone"`        // zone in which starts are refused
	WeightBytesPerSec        int64  `json:"weightBytesPerSec"` // rate of the weight store, 0 for no limit
}

// Counts are the counters of the object API's calls.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
}

// Starter starts and stops the instances that are requested through the cloud API.
// Start returns the instance's address.
type Starter interface {
	Start(i sequoiasill.Instance) (address string, err error)
	Stop(name string)
}

// Platform simulates the platform. It is safe for concurrent use.
type Platform struct {
	store   *store
	cloud   *cloud
	clock   sequoiasill.Clock
	starter Starter

	mu         sync.Mutex
	faults     Faults
	counts     Counts
	rand       *rand.Rand
	rateSecond int64 // clock second to which the two counters below belong
	reads      int
	writes     int
	server     *fasthttp.Server
	weight     weights
	stop       chan struct{} // closed by Close, so that pending watches return
	once       sync.Once
}

// New returns a simulated platform. The seed determines which writes and responses
// are lost. With a nil starter the cloud API refuses every start.
func New(clock sequoiasill.Clock, seed uint64, starter Starter) *Platform {
	p := &Platform{
		store:   newStore(),
		cloud:   newCloud(clock),
		clock:   clock,
		starter: starter,
		rand:    rand.New(rand.NewPCG(seed, 0)),
		stop:    make(chan struct{}),
	}
	p.server = &fasthttp.Server{Handler: p.routes(), Logger: killer.NopLogger{}, MaxRequestBodySize: 2 * maxValueBytes, NoDefaultServerHeader: true}
	return p
}

// Serve serves requests on l until Close.
func (p *Platform) Serve(l net.Listener) error { return p.server.Serve(l) }

// Close stops serving.
func (p *Platform) Close() error {
	p.once.Do(func() { close(p.stop) })
	return p.server.Shutdown()
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the current counters.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// AnnounceStop gives notice that an instance stops after the given delay, as the cloud
// does before it reclaims one. It reports whether the instance exists.
func (p *Platform) AnnounceStop(name string, after sequoiasill.Millis) bool {
	return p.cloud.announceStop(name, after)
}

func (p *Platform) routes() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/v1/objects/{name:*}", p.object(p.getObject, false))
	r.PUT("/v1/objects/{name:*}", p.object(p.putObject, true))
	r.DELETE("/v1/objects/{name:*}", p.object(p.deleteObject, true))
	r.GET("/v1/list", p.object(p.listObjects, false))
	r.GET("/v1/watch", p.object(p.watch, false))
	r.GET("/v1/instances", p.listInstances)
	r.PUT("/v1/instances/{instance}", p.putInstance)
	r.DELETE("/v1/instances/{instance}", p.deleteInstance)
	r.GET("/v1/instances/{instance}/notice", p.getNotice)
	r.POST("/v1/instances/{instance}/notice", p.postNotice)
	r.POST("/v1/cloud/instances", p.start)
	r.DELETE("/v1/cloud/instances/{instance}", p.stopInstance)
	r.GET("/v1/weights/{version}", p.getWeights)
	r.PUT("/faults", p.putFaults)
	r.GET("/counts", func(ctx *fasthttp.RequestCtx) { answerer.JSON(ctx, p.Counts()) })
	return r.Handler
}

// callOutcome holds the faults to apply to one call to the object API.
type callOutcome struct {
	delay        time.Duration
	status       int // zero to handle the call
	dropRequest  bool
	dropResponse bool
}

func (p *Platform) outcome(write, watch bool) callOutcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := int64(p.clock.Now() / sequoiasill.Second); s != p.rateSecond {
		p.rateSecond, p.reads, p.writes = s, 0, 0
	}
	c := callOutcome{delay: time.Duration(p.faults.SlowMillis) * time.Millisecond}
	limit, used := p.faults.ReadsPerSecond, &p.reads
	if write {
		limit, used = p.faults.WritesPerSecond, &p.writes
		p.counts.Writes++
		c.dropRequest = p.rand.IntN(1000) < p.faults.DropRequestsPerThousand
		c.dropResponse = p.rand.IntN(1000) < p.faults.DropResponsesPerThousand
	} else {
		p.counts.Reads++
	}
	if watch {
		p.counts.Watches++
	}
	*used++
	switch {
	case p.faults.Down:
		c.status = fasthttp.StatusServiceUnavailable
	case limit > 0 && *used > limit:
		c.status = fasthttp.StatusTooManyRequests
		p.counts.Refused++
	}
	return c
}

// object wraps a handler of the object API with counting, rate limits and fault
// injection.
func (p *Platform) object(h fasthttp.RequestHandler, write bool) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		c := p.outcome(write, string(ctx.Path()) == "/v1/watch")
		time.Sleep(c.delay)
		if c.status != 0 {
			ctx.Response.Header.Set("Retry-After", "1")
			ctx.Error("refused", c.status)
			return
		}
		if !c.dropRequest {
			h(ctx)
		}
		if c.dropRequest || c.dropResponse {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
		}
	}
}

func setVersion(ctx *fasthttp.RequestCtx, v uint64) {
	ctx.Response.Header.Set("Sequoia-Version", strconv.FormatUint(v, 10))
}

func objectName(ctx *fasthttp.RequestCtx) string {
	return strings.TrimPrefix(ctx.UserValue("name").(string), "/")
}

func (p *Platform) getObject(ctx *fasthttp.RequestCtx) {
	o, ok := p.store.get(objectName(ctx))
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	setVersion(ctx, o.version)
	ctx.SetBody(o.value)
}

func (p *Platform) putObject(ctx *fasthttp.RequestCtx)    { p.write(ctx, false) }
func (p *Platform) deleteObject(ctx *fasthttp.RequestCtx) { p.write(ctx, true) }

func (p *Platform) write(ctx *fasthttp.RequestCtx, deleted bool) {
	match, err := strconv.ParseUint(string(ctx.Request.Header.Peek("If-Match")), 10, 64)
	if err != nil {
		ctx.Error("If-Match must give a version", fasthttp.StatusBadRequest)
		return
	}
	if len(ctx.PostBody()) > maxValueBytes {
		ctx.Error("value too large", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	value := append([]byte(nil), ctx.PostBody()...)
	version, ok := p.store.put(objectName(ctx), value, match, deleted)
	if !ok {
		ctx.Error("version differs", fasthttp.StatusPreconditionFailed)
	}
	setVersion(ctx, version)
}

func (p *Platform) listObjects(ctx *fasthttp.RequestCtx) {
	all, revision, _ := p.store.changesAfter(string(ctx.QueryArgs().Peek("prefix")), 0)
	live := []change{}
	for _, c := range all {
		if !c.Deleted {
			live = append(live, c)
		}
	}
	answerer.JSON(ctx, map[string]any{"revision": revision, "objects": live})
}

func (p *Platform) watch(ctx *fasthttp.RequestCtx) {
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	after := uint64(ctx.QueryArgs().GetUintOrZero("after"))
	wait := time.After(time.Duration(ctx.QueryArgs().GetUintOrZero("timeoutMillis")) * time.Millisecond)
	for {
		changes, revision, next := p.store.changesAfter(prefix, after)
		if len(changes) > 0 {
			answerer.JSON(ctx, map[string]any{"revision": revision, "changes": changes})
			return
		}
		select {
		case <-next:
		case <-p.stop:
			ctx.Error("closing", fasthttp.StatusServiceUnavailable)
			return
		case <-wait:
			answerer.JSON(ctx, map[string]any{"revision": revision, "changes": changes})
			return
		}
	}
}

func (p *Platform) putFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}
