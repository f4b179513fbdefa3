package server

import (
	"sequoiasill.dev/sequoiasill"
	"sequoiasill.dev/sequoiasill/entry/balancer"
	"sequoiasill.dev/sequoiasill/entry/shifter"
	"sequoiasill.dev/sequoiasill/entry/syncer"
)

// versions selects the version of a service for a request among those with usable
// upstreams.
type versions struct {
	*shifter.Shifter

	balancer *balancer.Balancer
	configs  *syncer.Configs
}

func newVersions(s *shifter.Shifter, b *balancer.Balancer, c *syncer.Configs) *versions {
	return &versions{Shifter: s, balancer: b, configs: c}
}

// Version returns the version for a request: the one that the move's traffic
// split assigns, or another one if that has no usable upstream.
func (v *versions) Version(svc sequoiasill.Service, id sequoiasill.RequestID) string {
	version := v.Shifter.Version(svc, id)
	if len(v.balancer.Usable(svc.Pool, version)) > 0 {
		return version
	}
	if other, ok := v.FallbackVersion(svc.Name, svc.Pool, version); ok {
		return other
	}
	return version
}

// FallbackVersion returns another version of the service with usable upstreams, if there is
// one.
func (v *versions) FallbackVersion(service, pool, version string) (string, bool) {
	svc, ok := v.configs.Current().Service(service)
	if !ok {
		return "", false
	}
	for _, other := range v.Versions(svc) {
		if other != version && len(v.balancer.Usable(pool, other)) > 0 {
			return other, true
		}
	}
	return "", false
}
