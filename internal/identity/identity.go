// Package identity gives processes their mutual TLS.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files name the PEM files of a process; all empty means no TLS.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// checkPeriod is how often the files are looked at for changes.
const checkPeriod = time.Second

// Identity is the TLS side of a process.
type Identity struct {
	files   Files
	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time
	pair    tls.Certificate
	pool    *x509.CertPool
}

// New reads the files; with none it returns nil, which stands for no TLS.
func New(files Files) (*Identity, error) {
	if files == (Files{}) {
		return nil, nil
	}
	if files.Certificate == "" || files.Key == "" || files.Authority == "" {
		return nil, errors.New("tls needs all of tls-cert, tls-key and tls-ca, or none")
	}
	i := &Identity{files: files}
	return i, i.read()
}

func (i *Identity) read() error {
	pair, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return errors.Wrap(err, "read tls-cert and tls-key")
	}
	authority, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return errors.Wrap(err, "read tls-ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.Newf("tls-ca %s holds no certificate", i.files.Authority)
	}
	i.pair, i.pool = pair, pool
	i.stamps = i.stampsNow()
	return nil
}

func (i *Identity) stampsNow() [3]time.Time {
	var stamps [3]time.Time
	for at, name := range []string{i.files.Certificate, i.files.Key, i.files.Authority} {
		if info, err := os.Stat(name); err == nil {
			stamps[at] = info.ModTime()
		}
	}
	return stamps
}

// current reads the files again if they changed. A half-written set is left for
// the next check, and what was read before stays in use.
func (i *Identity) current() (tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.checked) > checkPeriod {
		i.checked = time.Now()
		if i.stampsNow() != i.stamps {
			_ = i.read()
		}
	}
	return i.pair, i.pool
}

// Server is the configuration of a listener: it takes only peers whose
// certificate the CA signed. Nil for no TLS.
func (i *Identity) Server() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := i.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// Client is the configuration of a dialler: it takes only peers whose certificate
// the CA signed. Peers are told apart by the CA, not by host name, because they
// have IP numbers only and are replaced at any time. Nil for no TLS.
func (i *Identity) Client() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // the chain is verified below, without the host name
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := i.current()
			return &pair, nil
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
	between := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		between.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "peer certificate")
}
