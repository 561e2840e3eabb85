package processes

// This file reloads the certificates of a process. Certificates are renewed
// more often than processes restart, so the files are checked for changes when
// a connection is made. Watching the directory was rejected because it needs a
// goroutine and fails on file systems that report no events.

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

// reloadInterval is the minimum time between two checks of the files.
const reloadInterval = time.Second

type (
	// TLS holds the certificate of a process and the certificate authority of its
	// peers. It is safe for concurrent use.
	TLS struct {
		certificateFile string
		keyFile         string
		authorityFile   string

		mutex       sync.Mutex
		loaded      certificates
		modTimes    [3]time.Time
		nextCheckAt time.Time
	}

	certificates struct {
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

// NewTLS loads the certificate, its key and the authority from PEM files.
func NewTLS(certificateFile, keyFile, authorityFile string) (*TLS, error) {
	files := &TLS{certificateFile: certificateFile, keyFile: keyFile, authorityFile: authorityFile}
	loaded, err := files.load()
	files.loaded, files.modTimes = loaded, files.readModTimes()
	return files, err
}

// LinkConfig returns the configuration for both ends of links between
// processes. Each end needs a certificate of the authority. Host names are not
// checked, because processes address each other by IP address; the fleet key
// proves the identity.
func (files *TLS) LinkConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return files.current().certificate, nil },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return files.current().certificate, nil },
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // verifyPeer checks the certificate with the current authority.
		VerifyConnection:       files.verifyPeer,
		SessionTicketsDisabled: true,
	}
}

// ListenerConfig returns the configuration of a listener for callers or
// operators, who authenticate by token. It returns nil if files is nil, for a process without
// TLS.
func (files *TLS) ListenerConfig() *tls.Config {
	if files == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return files.current().certificate, nil },
	}
}

func (files *TLS) verifyPeer(state tls.ConnectionState) error {
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

// current returns the certificates, after reloading them if the files have
// changed. While the files are being replaced they may not match each other;
// the earlier certificates stay in use until they do.
func (files *TLS) current() certificates {
	files.mutex.Lock()
	defer files.mutex.Unlock()
	now := time.Now()
	if now.Before(files.nextCheckAt) {
		return files.loaded
	}
	files.nextCheckAt = now.Add(reloadInterval)
	modTimes := files.readModTimes()
	if modTimes == files.modTimes {
		return files.loaded
	}
	if loaded, err := files.load(); err == nil {
		files.loaded, files.modTimes = loaded, modTimes
	}
	return files.loaded
}

func (files *TLS) readModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, path := range []string{files.certificateFile, files.keyFile, files.authorityFile} {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

func (files *TLS) load() (certificates, error) {
	certificate, err := tls.LoadX509KeyPair(files.certificateFile, files.keyFile)
	if err != nil {
		return certificates{}, fmt.Errorf("load certificate: %w", err)
	}
	encoded, err := os.ReadFile(files.authorityFile)
	if err != nil {
		return certificates{}, fmt.Errorf("read authority: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(encoded) {
		return certificates{}, fmt.Errorf("authority %s holds no certificate", files.authorityFile)
	}
	return certificates{certificate: &certificate, authority: authority}, nil
}
