package tlsfiles

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

	"github.com/shoenig/test/must"

	"github.com/sesamestand/sesamestand/internal/settings"
)

// writeSelfSignedCert writes a self-signed certificate for 127.0.0.1, also as the CA
// certificate.
func writeSelfSignedCert(t *testing.T, files settings.TLS, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	must.NoError(t, os.WriteFile(files.CertFile, certPEM, 0o600))
	must.NoError(t, os.WriteFile(files.CAFile, certPEM, 0o600))
	must.NoError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
}

func handshake(t *testing.T, source *Source) int64 {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", source.ServerConfig(true))
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_ = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), source.ClientConfig())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// Guards against certificates that are only replaced by a restart and against an
// invalid file that breaks connections which worked with the previous one.
func TestCertificateReloadIgnoresBrokenFile(t *testing.T) {
	dir := t.TempDir()
	files := settings.TLS{CertFile: filepath.Join(dir, "c"), KeyFile: filepath.Join(dir, "k"), CAFile: filepath.Join(dir, "a")}
	writeSelfSignedCert(t, files, 1)
	source, err := New(files)
	must.NoError(t, err)
	must.Eq(t, 1, handshake(t, source))

	writeSelfSignedCert(t, files, 2)
	// Resetting the times makes the next handshake reload the files, even within
	// checkInterval and with an unchanged modification time.
	source.lastCheck = time.Time{}
	source.modTimes = [3]time.Time{}
	must.Eq(t, 2, handshake(t, source))

	must.NoError(t, os.WriteFile(files.CertFile, []byte("broken"), 0o600))
	source.lastCheck = time.Time{}
	source.modTimes = [3]time.Time{}
	must.Eq(t, 2, handshake(t, source))
}
