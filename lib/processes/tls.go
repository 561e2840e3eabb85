package processes

// This file keeps the certificates of a process current. Certificates are
// renewed more often than processes restart, so the files are looked at again
// when a connection is made. Watching the directory was rejected: it needs a
// goroutine and misses a file system that reports no events.

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"firford/lib/settings"
)

// reloadPause bounds how often the files are looked at.
const reloadPause = time.Second

type (
	// TLS holds the certificate of a process and the authority that its peers'
	// certificates come from. It is safe for concurrent use.
	TLS struct {
		certificateFile string
		keyFile         string
		authorityFile   string

		mutex  sync.Mutex
		loaded material
		stamps [3]time.Time
		nextAt time.Time
	}

	material struct {
		certificate *tls.Certificate
		authority   *x509.CertPool
	}
)

var errNoCertificate = errors.New("the peer sent no certificate")

func parseTLS(file *settings.File) *TLS {
	section := file.Section("tls")
	if !section.Has("certificate_file") && !section.Has("key_file") && !section.Has("authority_file") {
		return nil
	}
	loaded, err := NewTLS(section.Required("certificate_file"), section.Required("key_file"), section.Required("authority_file"))
	if err != nil {
		section.AddFinding("certificate_file", err.Error(), "", "a certificate, its key and an authority in PEM")
	}
	return loaded
}

// NewTLS loads the three PEM files.
func NewTLS(certificateFile, keyFile, authorityFile string) (*TLS, error) {
	files := &TLS{certificateFile: certificateFile, keyFile: keyFile, authorityFile: authorityFile}
	loaded, err := files.load()
	files.loaded, files.stamps = loaded, files.modified()
	return files, err
}

// Links returns the configuration of links between processes, for both ends.
// Each end needs a certificate of the authority. Host names are not compared,
// because processes address each other by IP address; the fleet key proves the
// identity.
func (files *TLS) Links() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return files.current().certificate, nil },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return files.current().certificate, nil },
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // verify replaces the check, with the current authority.
		VerifyConnection:       files.verify,
		SessionTicketsDisabled: true,
	}
}

// Listener returns the configuration of a listener for callers or operators,
// who authenticate by token.
func (files *TLS) Listener() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return files.current().certificate, nil },
	}
}

func (files *TLS) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         files.current().authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// current returns the files' content. Files that are being replaced may not fit
// each other yet; the earlier content stays until they do.
func (files *TLS) current() material {
	files.mutex.Lock()
	defer files.mutex.Unlock()
	now := time.Now()
	if now.Before(files.nextAt) {
		return files.loaded
	}
	files.nextAt = now.Add(reloadPause)
	stamps := files.modified()
	if stamps == files.stamps {
		return files.loaded
	}
	if loaded, err := files.load(); err == nil {
		files.loaded, files.stamps = loaded, stamps
	}
	return files.loaded
}

func (files *TLS) modified() [3]time.Time {
	var stamps [3]time.Time
	for i, path := range []string{files.certificateFile, files.keyFile, files.authorityFile} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func (files *TLS) load() (material, error) {
	certificate, err := tls.LoadX509KeyPair(files.certificateFile, files.keyFile)
	if err != nil {
		return material{}, fmt.Errorf("load certificate: %w", err)
	}
	encoded, err := os.ReadFile(files.authorityFile)
	if err != nil {
		return material{}, fmt.Errorf("read authority: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(encoded) {
		return material{}, fmt.Errorf("authority %s holds no certificate", files.authorityFile)
	}
	return material{certificate: &certificate, authority: authority}, nil
}
