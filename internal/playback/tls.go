package playback

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials"
)

// certAuthority signs the certificates of the program and its operators. Each playback has its own.
type certAuthority struct {
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial int64 // last serial number issued
}

func newCertAuthority(t *testing.T) *certAuthority {
	a := &certAuthority{}
	a.cert, a.key = a.issue(t, &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

// issue signs a certificate with a new key. The first one is the authority's own, self-signed certificate.
func (a *certAuthority) issue(t *testing.T, c *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a.lastSerial++
	c.SerialNumber, c.NotBefore, c.NotAfter =
		big.NewInt(a.lastSerial), time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return cert, key
}

// pool returns a certificate pool with the authority's certificate.
func (a *certAuthority) pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// writeFiles writes the program's certificate and key and the client CA to dir, and returns the [tls] section of the
// store's configuration file.
func (a *certAuthority) writeFiles(t *testing.T, dir string) string {
	cert, key := a.issue(t, &x509.Certificate{IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	der, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	config := "[tls]\n"
	for name, block := range map[string]pem.Block{"cert": {Type: "CERTIFICATE", Bytes: cert.Raw},
		"key": {Type: "PRIVATE KEY", Bytes: der}, "client_ca": {Type: "CERTIFICATE", Bytes: a.cert.Raw}} {
		path := filepath.Join(dir, name+".pem")
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&block), 0o600))
		config += fmt.Sprintf("%s = %q\n", name, path)
	}
	return config
}

// operatorCredentials returns the credentials of an operator: g has a certificate of this authority, any other one
// that of a new authority.
func (a *certAuthority) operatorCredentials(t *testing.T, name string) credentials.TransportCredentials {
	signer := a
	if name != "g" {
		signer = newCertAuthority(t)
	}
	cert, key := signer.issue(t, &x509.Certificate{ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	clientCert := tls.Certificate{Certificate: [][]byte{cert.Raw}, PrivateKey: key}
	return credentials.NewTLS(&tls.Config{RootCAs: a.pool(), MinVersion: tls.VersionTLS13,
		// sent even if the server's list of accepted authorities does not include its issuer
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &clientCert, nil }})
}
