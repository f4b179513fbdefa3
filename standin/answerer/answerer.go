// Package answerer writes the HTTP responses of the stand-ins.
package answerer

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// JSON writes v as a JSON response, or status 500 if v cannot be encoded.
func JSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
