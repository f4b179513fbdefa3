package keyring

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, der := sign(t, nil, nil, true)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatalf("ParseCertificate: %v", err)
	}
	return authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func sign(t *testing.T, parent *x509.Certificate, parentKey *ecdsa.PrivateKey, ca bool) (*ecdsa.PrivateKey, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatalf("GenerateKey: %v", err)
	}
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	tmpl := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: ca, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	if parent == nil {
		parent, parentKey = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatalf("CreateCertificate: %v", err)
	}
	return key, der
}

// issue writes a new certificate issued by a, its key and the CA certificate to the
// directory.
func (a authority) issue(t *testing.T, dir string) Files {
	t.Helper()
	key, der := sign(t, a.cert, a.key, false)
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatalf("MarshalECPrivateKey: %v", err)
	}
	f := Files{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authorities: filepath.Join(dir, "ca.pem")}
	for name, data := range map[string][]byte{
		f.Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		f.Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		f.Authorities: a.pem,
	} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatalf("WriteFile: %v", err)
		}
	}
	return f
}

func load(t *testing.T, f Files) *Keyring {
	t.Helper()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	k, err := New(f, stop, hclog.NewNullLogger())
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	return k
}

// handshake connects both sides and reads a byte, because the client learns of a
// rejected certificate only when it reads.
func handshake(server, client *tls.Config) error {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	go func() {
		s, err := l.Accept()
		if err != nil {
			return
		}
		_ = s.SetDeadline(time.Now().Add(handshakeTimeout))
		_, _ = s.Write([]byte("x"))
		_ = s.Close()
	}()
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: handshakeTimeout}, "tcp", l.Addr().String(), client)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	_, err = c.Read(make([]byte, 1))
	return err
}

// handshakeTimeout bounds a handshake and the read after it.
const handshakeTimeout = 5 * time.Second

func TestMutual(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	server := load(t, ours.issue(t, t.TempDir()))
	tests := map[string]struct {
		client *tls.Config
		ok     bool
	}{
		"same authority":  {client: load(t, ours.issue(t, t.TempDir())).Mutual(), ok: true},
		"other authority": {client: load(t, others.issue(t, t.TempDir())).Mutual()},
		"no certificate":  {client: &tls.Config{InsecureSkipVerify: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if err := handshake(server.Mutual(), tc.client); (err == nil) != tc.ok {
				t.Errorf("handshake: %v, want success %v", err, tc.ok)
			}
		})
	}
}

func TestRefreshLoadsChangedFiles(t *testing.T) {
	dir := t.TempDir()
	ours := newAuthority(t)
	k := load(t, ours.issue(t, dir))
	before, _ := k.current()
	ours.issue(t, dir)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(filepath.Join(dir, "cert.pem"), later, later); err != nil {
		t.Fatalf("Chtimes: %v", err)
	}
	k.Refresh()
	if after, _ := k.current(); after == before {
		t.Error("the certificate was not reloaded")
	}
}
