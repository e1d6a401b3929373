package identity_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/identity"
	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// ca is a CA that signs certificates of processes.
type ca struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	raw         []byte
}

func newCA(t *testing.T) ca {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC), NotAfter: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC),
		KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return ca{t, parsed, key, raw}
}

// issue writes the key, the certificate and the CA certificate of a process into folder.
func (c ca) issue(folder string) identity.Files {
	c.t.Helper()
	return c.issueUntil(folder, c.certificate.NotAfter)
}

// issueUntil is issue with the time at which the certificate of the process expires.
func (c ca) issueUntil(folder string, notAfter time.Time) identity.Files {
	c.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		c.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"},
		NotBefore: c.certificate.NotBefore, NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, c.certificate, &key.PublicKey, c.key)
	if err != nil {
		c.t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		c.t.Fatal(err)
	}
	files := identity.Files{
		Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), CA: filepath.Join(folder, "ca.pem"),
	}
	c.write(files.Certificate, "CERTIFICATE", raw)
	c.write(files.Key, "PRIVATE KEY", private)
	c.write(files.CA, "CERTIFICATE", c.raw)
	return files
}

func (c ca) write(file, kind string, raw []byte) {
	c.t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func open(t *testing.T, files identity.Files) *identity.Identity {
	t.Helper()
	own, err := identity.New(files)
	if err != nil {
		t.Fatal(err)
	}
	return own
}

func TestOnlyProcessesOfTheSameAuthorityTalk(t *testing.T) {
	good, other := newCA(t), newCA(t)
	trusted, foreign := open(t, good.issue(t.TempDir())), open(t, other.issue(t.TempDir()))
	cases := []struct {
		name      string
		identity  *identity.Identity
		connected bool
	}{
		{"certificate of the same authority", trusted, true},
		{"certificate of another authority", foreign, false},
		{"no certificate", nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := testcluster.New(t, 2, func(p *testcluster.Cluster) { p.Identity = trusted })
				p.ActivateContract()
				if status := get(t, p); status != http.StatusOK {
					t.Errorf("request through a gate with TLS: status %d", status)
				}
				p.StartUpstream("m2")
				p.Identity = c.identity
				p.StartAgent("m2")
				time.Sleep(10 * time.Second)
				status, err := p.Operator("e0").LocalStatus(p.Ctx)
				if err != nil {
					t.Fatal(err)
				}
				found := false
				for _, node := range status.Nodes {
					found = found || node.Node == "m2"
				}
				if found != c.connected {
					t.Errorf("agent m2 connected: %v, want %v", found, c.connected)
				}
			})
		})
	}
}

func get(t *testing.T, p *testcluster.Cluster) int {
	t.Helper()
	r, err := http.NewRequestWithContext(p.Ctx, http.MethodGet, "http://127.0.0.1:7100/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Apricotwind-Class", "preview")
	r.Header.Set("Apricotwind-Workspace", "kilele")
	response, err := p.Client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func TestChangedFilesAreReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder := t.TempDir()
		own := open(t, newCA(t).issue(folder))
		before := current(t, own)
		files := newCA(t).issue(folder)
		later := time.Now().Add(time.Hour)
		if err := os.Chtimes(files.Certificate, later, later); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if current(t, own) == before {
			t.Error("the old certificate is still in use")
		}
	})
}

// current returns the certificate in use.
func current(t *testing.T, own *identity.Identity) string {
	t.Helper()
	pair, err := own.Client().GetClientCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	return string(pair.Certificate[0])
}

func TestFilesThatAreWrong(t *testing.T) {
	authority := newCA(t)
	files := authority.issue(t.TempDir())
	expired := authority.issueUntil(t.TempDir(), time.Now().Add(-time.Hour))
	empty := filepath.Join(t.TempDir(), "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name      string
		files     identity.Files
		errorText string
	}{
		{"one missing", identity.Files{Certificate: files.Certificate, Key: files.Key}, "needs all of"},
		{"no such file", identity.Files{Certificate: "nowhere", Key: files.Key, CA: files.CA}, "tls-cert"},
		{"expired", expired, expired.Certificate + " expired at"},
		{"no certificate in it", identity.Files{Certificate: files.Certificate, Key: files.Key, CA: empty}, "holds no certificate"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := identity.New(c.files); err == nil || !strings.Contains(err.Error(), c.errorText) {
				t.Errorf("got %v", err)
			}
		})
	}
}
