// Package identity provides the mutual TLS configuration of a process and reloads its
// certificate files when they change. Issuing certificates is left to the operator.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files are the paths of the PEM files of a process: its certificate, its private key and
// the certificate of the CA. If all are empty, the process does not use TLS.
type Files struct {
	Certificate string
	Key         string
	CA          string
}

// checkInterval is the minimum time between two checks whether the files have changed.
const checkInterval = time.Second

// Identity is the certificate of a process and the CA that it trusts. It is safe for
// concurrent use. A nil Identity stands for no TLS.
type Identity struct {
	files       Files
	mu          sync.Mutex
	checkedAt   time.Time
	modTimes    [3]time.Time
	certificate tls.Certificate
	pool        *x509.CertPool
}

// New reads the files. If all paths are empty, it returns nil, which stands for no TLS.
func New(files Files) (*Identity, error) {
	if files == (Files{}) {
		return nil, nil
	}
	if files.Certificate == "" || files.Key == "" || files.CA == "" {
		return nil, errors.New("tls needs all of tls-cert, tls-key and tls-ca, or none")
	}
	i := &Identity{files: files}
	return i, i.read()
}

func (i *Identity) read() error {
	certificate, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return errors.Wrap(err, "read tls-cert and tls-key")
	}
	if now := time.Now(); now.After(certificate.Leaf.NotAfter) {
		return errors.Newf("tls-cert %s expired at %s", i.files.Certificate, certificate.Leaf.NotAfter.Format(time.RFC3339))
	}
	caPEM, err := os.ReadFile(i.files.CA)
	if err != nil {
		return errors.Wrap(err, "read tls-ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return errors.Newf("tls-ca %s holds no certificate", i.files.CA)
	}
	i.certificate, i.pool = certificate, pool
	i.modTimes = i.readModTimes()
	return nil
}

func (i *Identity) readModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for at, name := range []string{i.files.Certificate, i.files.Key, i.files.CA} {
		if info, err := os.Stat(name); err == nil {
			modTimes[at] = info.ModTime()
		}
	}
	return modTimes
}

// current returns the certificate and the CA pool, and reads the files again first if they
// have changed. If the read fails, as for a partly written set of files, the previous
// certificate and pool stay in use until the next check.
func (i *Identity) current() (tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.checkedAt) > checkInterval {
		i.checkedAt = time.Now()
		if i.readModTimes() != i.modTimes {
			_ = i.read()
		}
	}
	return i.certificate, i.pool
}

// Server returns the TLS configuration of a listener, which accepts only peers with a
// certificate signed by the CA. It returns nil for no TLS.
func (i *Identity) Server() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, pool := i.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// Client returns the TLS configuration of a dialler, which accepts only peers with a
// certificate signed by the CA. It verifies the CA and not the host name, because peers
// have IP addresses only and are replaced at any time. It returns nil for no TLS.
func (i *Identity) Client() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain, without the host name
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := i.current()
			return &certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, pool := i.current()
			return verify(state, pool)
		},
	}
}

func verify(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "peer certificate")
}
