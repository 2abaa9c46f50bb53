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

// authority signs the certificates of the program and of its operators, made for one play.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	next int64 // serial number
}

func newAuthority(t *testing.T) *authority {
	a := &authority{}
	a.cert, a.key = a.issue(t, &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

// issue signs a certificate; the first is the authority's own.
func (a *authority) issue(t *testing.T, c *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a.next++
	c.SerialNumber, c.NotBefore, c.NotAfter = big.NewInt(a.next), time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
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

// pool holds the authority's own certificate.
func (a *authority) pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// files writes what the program needs, and returns its entry in the store's file.
func (a *authority) files(t *testing.T, dir string) string {
	cert, key := a.issue(t, &x509.Certificate{IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	der, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	entry := "[tls]\n"
	for name, block := range map[string]pem.Block{"cert": {Type: "CERTIFICATE", Bytes: cert.Raw},
		"key": {Type: "PRIVATE KEY", Bytes: der}, "client_ca": {Type: "CERTIFICATE", Bytes: a.cert.Raw}} {
		path := filepath.Join(dir, name+".pem")
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&block), 0o600))
		entry += fmt.Sprintf("%s = %q\n", name, path)
	}
	return entry
}

// operator is what an operator shows: g a certificate of the authority, h one of another.
func (a *authority) operator(t *testing.T, name string) credentials.TransportCredentials {
	signer := a
	if name != "g" {
		signer = newAuthority(t)
	}
	cert, key := signer.issue(t, &x509.Certificate{ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	own := tls.Certificate{Certificate: [][]byte{cert.Raw}, PrivateKey: key}
	return credentials.NewTLS(&tls.Config{RootCAs: a.pool(), MinVersion: tls.VersionTLS13,
		// whoever is asked, and by whom: a stranger shows what it has
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &own, nil }})
}
