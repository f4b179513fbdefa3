package store

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// checkEpoch reads the holder and epoch of a duty's call. It refuses an epoch that is
// lower than the highest one received for the duty and subject. The caller holds the
// lock.
func (s *Store) checkEpoch(w http.ResponseWriter, r *http.Request, subject string) (holder string, epoch uint64, ok bool) {
	holder = r.Header.Get("Lease-Holder")
	epoch, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return "", 0, false
	}
	if epoch < s.epochs[subject] && !s.unfenced {
		s.writeJSON(w, http.StatusConflict, map[string]string{"error": "a higher fence was seen"})
		return "", 0, false
	}
	s.epochs[subject] = max(epoch, s.epochs[subject])
	return holder, epoch, true
}

func (s *Store) handleUsage(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowID int64          `json:"windowId"`
		Counts   map[string]int `json:"counts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holder, epoch, ok := s.checkEpoch(w, r, "usage")
	if !ok {
		return
	}
	s.usage = append(s.usage, Usage{Holder: holder, Epoch: epoch, Window: body.WindowID, Counts: body.Counts, At: time.Now()})
	s.writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Store) handleScaling(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Desired int    `json:"desired"`
		Spot    bool   `json:"spot"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holder, epoch, ok := s.checkEpoch(w, r, "scaling/"+body.Service+"/"+body.Zone)
	if !ok {
		return
	}
	if body.Spot && s.faults.NoReclaimable {
		s.writeJSON(w, http.StatusConflict, map[string]string{"error": "none of that kind is to be had"})
		return
	}
	s.scaling = append(s.scaling, Scaling{
		Holder: holder, Epoch: epoch, Service: body.Service, Zone: body.Zone, Desired: body.Desired, Reclaimable: body.Spot,
	})
	s.writeJSON(w, http.StatusOK, struct{}{})
}
