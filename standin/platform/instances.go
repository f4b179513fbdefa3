package platform

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/standin/answerer"
)

func instanceName(ctx *fasthttp.RequestCtx) string { return ctx.UserValue("instance").(string) }

func (p *Platform) listInstances(ctx *fasthttp.RequestCtx) {
	lag := sequoiasill.Millis(p.currentFaults().ListLagMillis)
	answerer.JSON(ctx, map[string]any{"instances": p.cloud.list(lag)})
}

func (p *Platform) putInstance(ctx *fasthttp.RequestCtx) {
	var w wireInstance
	if err := json.Unmarshal(ctx.PostBody(), &w); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	w.Name = instanceName(ctx)
	p.cloud.set(w)
}

func (p *Platform) deleteInstance(ctx *fasthttp.RequestCtx) {
	if !p.cloud.remove(instanceName(ctx)) {
		ctx.Error("no such instance", fasthttp.StatusNotFound)
	}
}

func (p *Platform) getNotice(ctx *fasthttp.RequestCtx) {
	w, ok := p.cloud.get(instanceName(ctx))
	if !ok {
		ctx.Error("no such instance", fasthttp.StatusNotFound)
		return
	}
	answerer.JSON(ctx, map[string]any{"stopAtMillis": w.StopAt})
}

func (p *Platform) postNotice(ctx *fasthttp.RequestCtx) {
	var in struct {
		AfterMillis int64 `json:"afterMillis"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !p.cloud.announceStop(instanceName(ctx), sequoiasill.Millis(in.AfterMillis)) {
		ctx.Error("no such instance", fasthttp.StatusNotFound)
	}
}

// start starts an instance through the Starter. It is idempotent: a repeated start
// token returns the instance that was started under it.
func (p *Platform) start(ctx *fasthttp.RequestCtx) {
	var in struct {
		Token   string `json:"token"`
		Zone    string `json:"zone"`
		Class   string `json:"class"`
		Pool    string `json:"pool"`
		Version string `json:"version"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil || in.Token == "" {
		ctx.Error("start needs a token", fasthttp.StatusBadRequest)
		return
	}
	p.cloud.mu.Lock()
	name, seen := p.cloud.tokens[in.Token]
	p.cloud.mu.Unlock()
	if seen {
		answerer.JSON(ctx, map[string]any{"name": name})
		return
	}
	f := p.currentFaults()
	if p.starter == nil || f.RefuseStarts || (f.RefuseZone != "" && f.RefuseZone == in.Zone) {
		ctx.Error("no capacity", fasthttp.StatusServiceUnavailable)
		return
	}
	name = fmt.Sprintf("%s-%s", in.Pool, in.Token)
	i := sequoiasill.Instance{
		Name: name, Zone: in.Zone, Class: sequoiasill.InstanceClass(in.Class),
		Role: sequoiasill.RoleUpstream, Pool: in.Pool, Version: in.Version,
	}
	address, err := p.starter.Start(i)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	p.cloud.mu.Lock()
	p.cloud.tokens[in.Token] = name
	p.cloud.mu.Unlock()
	p.cloud.set(wireInstance{
		Name: name, Address: address, Zone: in.Zone, Class: in.Class,
		Role: sequoiasill.RoleUpstream, Pool: in.Pool, Version: in.Version,
	})
	answerer.JSON(ctx, map[string]any{"name": name})
}

func (p *Platform) stopInstance(ctx *fasthttp.RequestCtx) {
	name := instanceName(ctx)
	if !p.cloud.remove(name) {
		ctx.Error("no such instance", fasthttp.StatusNotFound)
		return
	}
	if p.starter != nil {
		p.starter.Stop(name)
	}
}

// weights serialises the transfers of the weight store, so that its rate limit
// applies to all of them together.
type weights struct {
	mu sync.Mutex
}

// weightChunkBytes is the size of the response body that represents a version's
// weights.
const weightChunkBytes = 64 << 10

func (p *Platform) getWeights(ctx *fasthttp.RequestCtx) {
	p.weight.mu.Lock()
	defer p.weight.mu.Unlock()
	if rate := p.currentFaults().WeightBytesPerSec; rate > 0 {
		time.Sleep(time.Duration(weightChunkBytes * int64(time.Second) / rate))
	}
	ctx.SetBody(make([]byte, weightChunkBytes))
}
