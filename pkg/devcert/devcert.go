// Package devcert creates short-lived certificates for demonstrations and tests.
package devcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
)

// lifetime is the validity of a certificate, which is enough for a test or a demonstration.
const lifetime = 24 * time.Hour

// Authority is a certificate authority that signs certificates of VMs.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, "", "create authority key")
	}
	tmpl := template("hibiscuscross development authority")
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, "", "create authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, "", "parse authority certificate")
	}
	return &Authority{cert: cert, key: key}, nil
}

func template(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(lifetime),
	}
}

// Pool returns a pool with the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// Issue returns a certificate whose common name is the VM id.
func (a *Authority) Issue(vm string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, fault.Wrap(err, fault.StepSettings, vm, "create key")
	}
	tmpl := template(vm)
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, fault.Wrap(err, fault.StepSettings, vm, "create certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// WriteFiles writes ca.pem, and for each VM <vm>.pem and <vm>-key.pem, into dir.
func (a *Authority) WriteFiles(dir string, vms ...string) error {
	if err := writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.cert.Raw); err != nil {
		return err
	}
	for _, vm := range vms {
		cert, err := a.Issue(vm)
		if err != nil {
			return err
		}
		key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
		if err != nil {
			return fault.Wrap(err, fault.StepSettings, vm, "encode key")
		}
		if err := writePEM(filepath.Join(dir, vm+".pem"), "CERTIFICATE", cert.Certificate[0]); err != nil {
			return err
		}
		if err := writePEM(filepath.Join(dir, vm+"-key.pem"), "PRIVATE KEY", key); err != nil {
			return err
		}
	}
	return nil
}

func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return fault.Wrap(os.WriteFile(path, data, 0o600), fault.StepSettings, path, "write file")
}
