package processes

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"

	"firford/lib/settings"
)

const (
	validAgentSettings = `[process]
name = agent-01
data_centre = nairobi
region = kenya
[listen]
links = 127.0.0.1:7101
admin = 127.0.0.1:7301
chunks = 127.0.0.1:7201
[platform]
address = 127.0.0.1:7000
token_file = SECRET
[fleet]
key_file = SECRET
[backend_server]
address = 127.0.0.1:7401
deployment = plant
[transfer]
neighbours = 12
`
	invalidAgentSettings = `[process]
name = agent-01
region = kenya
log_level = loud
stop_on_violation = maybe
[listen]
links = localhost:7101
admin = 127.0.0.1
callers = 127.0.0.1:8001
[platform]
address = 127.0.0.1:7000
token_file = absent.token
[backend_server]
address = 127.0.0.1:7401
[transfer]
neighbours = 1
chunk_memory_bytes = lots
[tls]
certificate_file = absent.pem
[operators]
tokens_file = x
`
	invalidTokens = `# name hash
amina 8810ad581e59f2bc3928b261707a71308f7e139eb04820366dc4d5c18d980225
short 8810
baraka
amina 8810ad581e59f2bc3928b261707a71308f7e139eb04820366dc4d5c18d980225
`
)

// Guards against a check that passes a file with which an agent can't start,
// and against reporting only the first problem of a file.
func TestAgentSettingsFindings(t *testing.T) {
	convey.Convey("Given the settings of an agent with mistakes in every section, all of them are reported", t, func() {
		_, err := parseAgent(settings.Parse("agent.ini", invalidAgentSettings))
		convey.So(err, convey.ShouldNotBeNil)
		_, tokens := ParseOperatorTokens("operators.tokens", invalidTokens)
		goldie.New(t).Assert(t, "findings", []byte(err.Error()+"\n"+tokens.String()))
	})
}

// Guards against rejecting or misreading a valid file.
func TestValidAgentSettings(t *testing.T) {
	convey.Convey("Given valid settings of an agent, all of them are read", t, func() {
		directory := t.TempDir()
		t.Chdir(directory)
		convey.So(os.WriteFile("SECRET", []byte("secret\n"), 0o600), convey.ShouldBeNil)
		convey.So(os.WriteFile("agent.ini", []byte(validAgentSettings), 0o600), convey.ShouldBeNil)
		agent, err := ReadAgent("agent.ini")
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(agent.FleetKey), convey.ShouldEqual, "secret")
		convey.So(agent.Transfer, convey.ShouldResemble, Transfer{LinkShare: 1, ChunkMemoryBytes: defaultChunkMemoryBytes, Neighbours: 12})
		convey.So(agent.TLS, convey.ShouldBeNil)
		convey.So(agent.Host("1").ChunkAddress, convey.ShouldEqual, "127.0.0.1:7201")
		role, err := Check("agent.ini")
		convey.So(err, convey.ShouldBeNil)
		convey.So(role, convey.ShouldEqual, "agent")
	})
}

// Guards against accepting a wrong token, and against returning the name of
// another operator.
func TestOperatorTokens(t *testing.T) {
	convey.Convey("Given the tokens of two operators, each token identifies only its own operator", t, func() {
		tokens, problems := ParseOperatorTokens("operators.tokens", "amina 8810ad581e59f2bc3928b261707a71308f7e139eb04820366dc4d5c18d980225\n"+
			"baraka 27042f4e6eca7d0b2a7ee4026df2ecfa51d3339e6d122aa099118ecd8563bad9\n")
		convey.So(problems.Len(), convey.ShouldEqual, 0)
		for token, want := range map[string]string{"other": "", "": "", "amina": "", "wrong": "amina", "right": "baraka"} {
			name, found := tokens.Operator(token)
			convey.So(name, convey.ShouldEqual, want)
			convey.So(found, convey.ShouldEqual, want != "")
		}
	})
}

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return authority{certificate: certificate, key: key}
}

// writeFiles creates a certificate that the authority has signed, and writes it,
// its key and the authority's certificate to the directory with the given
// modification time.
func (authority authority) writeFiles(t *testing.T, directory string, serial int64, changed time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		t.Fatal(err)
	}
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{
		"certificate.pem": {Type: "CERTIFICATE", Bytes: raw},
		"key.pem":         {Type: "EC PRIVATE KEY", Bytes: encodedKey},
		"authority.pem":   {Type: "CERTIFICATE", Bytes: authority.certificate.Raw},
	} {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, changed, changed); err != nil {
			t.Fatal(err)
		}
	}
}

func loadTLS(t *testing.T, directory string) *TLS {
	t.Helper()
	files, err := NewTLS(filepath.Join(directory, "certificate.pem"), filepath.Join(directory, "key.pem"), filepath.Join(directory, "authority.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// handshake returns the serial number of the certificate that the client
// received, or the error of the end that rejected the other.
func handshake(client, server *tls.Config) (int64, error) {
	clientConn, serverConn := net.Pipe()
	defer func() { _, _ = clientConn.Close(), serverConn.Close() }()
	served := make(chan error, 1)
	serverEnd := tls.Server(serverConn, server)
	go func() {
		err := serverEnd.Handshake()
		if err == nil {
			_, err = serverEnd.Write([]byte{1})
		}
		_ = serverConn.Close()
		served <- err
	}()
	clientEnd := tls.Client(clientConn, client)
	if _, err := clientEnd.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return clientEnd.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-served
}

// Guards against using the old certificate after a renewal, against new
// connections that fail while the files are being replaced, and against
// accepting a peer with a certificate of another authority.
func TestCertificatesAreReloaded(t *testing.T) {
	convey.Convey("Given two processes with certificates of one authority", t, func() {
		own, other := newAuthority(t), newAuthority(t)
		clientDirectory, serverDirectory, foreignDirectory := t.TempDir(), t.TempDir(), t.TempDir()
		start := time.Now().Add(-time.Minute)
		own.writeFiles(t, clientDirectory, 2, start)
		own.writeFiles(t, serverDirectory, 3, start)
		other.writeFiles(t, foreignDirectory, 4, start)
		client, server := loadTLS(t, clientDirectory), loadTLS(t, serverDirectory)
		serial, err := handshake(client.LinkConfig(), server.LinkConfig())
		convey.So(err, convey.ShouldBeNil)
		convey.So(serial, convey.ShouldEqual, 3)
		convey.Convey("a renewed certificate is used without a restart", func() {
			own.writeFiles(t, serverDirectory, 5, start.Add(time.Second))
			server.nextCheckAt = time.Time{}
			serial, err := handshake(client.LinkConfig(), server.LinkConfig())
			convey.So(err, convey.ShouldBeNil)
			convey.So(serial, convey.ShouldEqual, 5)
		})
		convey.Convey("an unreadable new certificate does not replace the earlier one", func() {
			convey.So(os.WriteFile(filepath.Join(serverDirectory, "certificate.pem"), []byte("half"), 0o600), convey.ShouldBeNil)
			server.nextCheckAt = time.Time{}
			serial, err := handshake(client.LinkConfig(), server.LinkConfig())
			convey.So(err, convey.ShouldBeNil)
			convey.So(serial, convey.ShouldEqual, 3)
		})
		convey.Convey("a peer with a certificate of another authority is refused by either end", func() {
			_, err := handshake(loadTLS(t, foreignDirectory).LinkConfig(), server.LinkConfig())
			convey.So(err, convey.ShouldNotBeNil)
			_, err = handshake(client.LinkConfig(), loadTLS(t, foreignDirectory).LinkConfig())
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}
