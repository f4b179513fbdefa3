// Package keyring loads TLS certificates from files and reloads them when the files
// change, without a restart.
package keyring

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
)

// Files contains the paths of the PEM files for one side of a connection.
type Files struct {
	Certificate string
	Key         string
	Authorities string // CA certificates for the other side; empty if it presents no certificate
}

// Configured reports whether TLS is configured.
func (f Files) Configured() bool { return f.Certificate != "" || f.Key != "" || f.Authorities != "" }

// pollInterval is the interval at which the files are checked for changes.
const pollInterval = 10 * time.Second

// Keyring holds a certificate and the trusted certificate authorities. It is safe
// for concurrent use.
type Keyring struct {
	files Files
	log   hclog.Logger

	mu            sync.Mutex
	certificate   *tls.Certificate
	authorities   *x509.CertPool
	loadedModTime time.Time // newest modification time of the files
}

// New loads the files and reloads them on changes until stop is closed.
func New(files Files, stop <-chan struct{}, log hclog.Logger) (*Keyring, error) {
	k := &Keyring{files: files, log: log.Named("keyring")}
	if err := k.load(); err != nil {
		return nil, err
	}
	go func() {
		tick := time.NewTicker(pollInterval)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				k.Refresh()
			}
		}
	}()
	return k, nil
}

// Refresh reloads the files if they have changed. If the new files are invalid, the
// current certificates remain in use.
func (k *Keyring) Refresh() {
	newest, err := k.newestModTime()
	k.mu.Lock()
	changed := err == nil && newest.After(k.loadedModTime)
	k.mu.Unlock()
	if !changed {
		return
	}
	if err := k.load(); err != nil {
		k.log.Warn("failed to reload certificate", "error", err)
		return
	}
	k.log.Info("certificate reloaded", "file", k.files.Certificate)
}

func (k *Keyring) newestModTime() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{k.files.Certificate, k.files.Key, k.files.Authorities} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}, errors.Annotate(err, "stat certificate files")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func (k *Keyring) load() error {
	newest, err := k.newestModTime()
	if err != nil {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return errors.Annotate(err, "load certificate")
	}
	var authorities *x509.CertPool
	if k.files.Authorities != "" {
		pem, err := os.ReadFile(k.files.Authorities)
		if err != nil {
			return errors.Annotate(err, "load authorities")
		}
		authorities = x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(pem) {
			return errors.Errorf("load authorities: no certificate in %s", k.files.Authorities)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.certificate, k.authorities, k.loadedModTime = &certificate, authorities, newest
	return nil
}

func (k *Keyring) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.certificate, k.authorities
}

// Server returns the configuration for the server side. If authorities are
// configured, clients must present a certificate that one of them issued.
func (k *Keyring) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := k.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*certificate}, NextProtos: []string{"h2", "http/1.1"}}
			if authorities != nil {
				c.ClientCAs = authorities
				c.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// Mutual returns the configuration for connections between entries, for both sides.
// Any certificate that the authorities issued is trusted, regardless of the host names
// in it, because entries connect to each other by IP addresses that change.
func (k *Keyring) Mutual() *tls.Config {
	c := k.Server()
	c.InsecureSkipVerify = true // VerifyConnection checks the chain instead
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		certificate, _ := k.current()
		return certificate, nil
	}
	c.VerifyConnection = func(s tls.ConnectionState) error {
		_, authorities := k.current()
		if len(s.PeerCertificates) == 0 {
			return errors.New("the peer presented no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, p := range s.PeerCertificates[1:] {
			intermediates.AddCert(p)
		}
		_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return errors.Annotate(err, "verify peer")
	}
	return c
}
