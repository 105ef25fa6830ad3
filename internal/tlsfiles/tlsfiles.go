// Package tlsfiles builds TLS configurations from certificate and key files. It
// reloads the files when they change, so that certificates can be rotated without
// a restart.
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

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Source provides the certificate and the CA certificates, and follows changes of
// their files.
type Source struct {
	files settings.TLS

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	roots     *x509.CertPool
}

// New returns a source that has loaded the files, or nil if TLS is not enabled.
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

// ServerConfig returns the configuration for listeners. If mutual is set and a CA
// file is configured, clients must present a certificate that chains to one of its
// certificates.
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

// ClientConfig returns the configuration for connections to other entry hosts. The
// peer's certificate is verified against the CA certificates that are current when
// the connection is established.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		// The standard verification uses a fixed certificate pool. VerifyConnection
		// performs the same verification with the current pool.
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

// current returns the certificate and the CA certificates. It reloads the files if
// they changed since the last load; after a failed reload it returns the previous
// certificates.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.lastCheck) >= checkInterval {
		s.lastCheck = now
		if s.modTimes != s.statModTimes() {
			if err := s.load(); err != nil {
				klog.ErrorS(err, "failed to reload TLS files, keeping the previous ones")
			} else {
				klog.InfoS("TLS files reloaded", "cert_file", s.files.CertFile)
			}
		}
	}
	return s.cert, s.roots
}

func (s *Source) load() error {
	modTimes := s.statModTimes()
	cert, err := tls.LoadX509KeyPair(s.files.CertFile, s.files.KeyFile)
	if err != nil {
		return eris.Wrap(err, "load the TLS certificate and key")
	}
	var roots *x509.CertPool
	if s.files.CAFile != "" {
		pem, err := os.ReadFile(s.files.CAFile)
		if err != nil {
			return eris.Wrap(err, "read the TLS CA file")
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return eris.Errorf("TLS CA file %s contains no PEM certificate", s.files.CAFile)
		}
	}
	s.cert, s.roots, s.modTimes = &cert, roots, modTimes
	return nil
}

func (s *Source) statModTimes() [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{s.files.CertFile, s.files.KeyFile, s.files.CAFile} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
