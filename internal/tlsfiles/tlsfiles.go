// Package tlsfiles builds TLS configurations from key files and reads the
// files again when they change, so that certificates are replaced without a
// restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/sesamestand/sesamestand/internal/settings"
)

// checkInterval is the shortest time between two looks at the files.
const checkInterval = time.Second

// Source gives the certificate and the authorities that are on file now.
type Source struct {
	files settings.TLS

	mu       sync.Mutex
	checked  time.Time
	modified [3]time.Time
	cert     *tls.Certificate
	roots    *x509.CertPool
}

// New loads the files. It returns nil when TLS is not enabled.
func New(files settings.TLS) (*Source, error) {
	if !files.Enabled() {
		return nil, nil
	}
	s := &Source{files: files}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

// ServerConfig is for listeners. With mutual set, clients must present a
// certificate that chains to the authorities on file.
func (s *Source) ServerConfig(mutual bool) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS12}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, roots := s.current()
		config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"}}
		if mutual && roots != nil {
			config.ClientAuth = tls.RequireAndVerifyClientCert
			config.ClientCAs = roots
		}
		return config, nil
	}
	return base
}

// ClientConfig is for connections to other entry hosts. It checks the other
// side's certificate against the authorities on file at connection time.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		// The standard check uses a fixed pool; VerifyConnection does the same
		// check with the pool that is on file now.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, roots := s.current()
			return verifyChain(state, roots)
		},
	}
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("the peer presented no certificate")
	}
	options := x509.VerifyOptions{Roots: roots, DNSName: state.ServerName, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.checked) >= checkInterval {
		s.checked = now
		if s.modified != s.modificationTimes() {
			if err := s.load(); err != nil {
				klog.ErrorS(err, "reload TLS files; keeping the former ones")
			} else {
				klog.InfoS("TLS files reloaded", "cert_file", s.files.CertFile)
			}
		}
	}
	return s.cert, s.roots
}

func (s *Source) load() error {
	modified := s.modificationTimes()
	cert, err := tls.LoadX509KeyPair(s.files.CertFile, s.files.KeyFile)
	if err != nil {
		return eris.Wrap(err, "load the TLS certificate and key")
	}
	var roots *x509.CertPool
	if s.files.CAFile != "" {
		pem, err := os.ReadFile(s.files.CAFile)
		if err != nil {
			return eris.Wrap(err, "read the TLS authorities")
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return eris.Errorf("%s holds no PEM certificate", s.files.CAFile)
		}
	}
	s.cert, s.roots, s.modified = &cert, roots, modified
	return nil
}

func (s *Source) modificationTimes() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{s.files.CertFile, s.files.KeyFile, s.files.CAFile} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
