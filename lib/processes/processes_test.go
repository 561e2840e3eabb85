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
	correctAgent = `[process]
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
	mistakenAgent = `[process]
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
	mistakenTokens = `# name hash
amina 8810ad581e59f2bc3928b261707a71308f7e139eb04820366dc4d5c18d980225
short 8810
baraka
amina 8810ad581e59f2bc3928b261707a71308f7e139eb04820366dc4d5c18d980225
`
)

// Guards against a check that passes a file with which an agent won't start,
// and against mistakes that are reported one at a time.
func TestFindingsOfAgent(t *testing.T) {
	convey.Convey("Given the settings of an agent with mistakes in every section", t, func() {
		_, err := parseAgent(settings.Parse("agent.ini", mistakenAgent))
		convey.So(err, convey.ShouldNotBeNil)
		_, tokens := ParseTokens("operators.tokens", mistakenTokens)
		goldie.New(t).Assert(t, "findings", []byte(err.Error()+"\n"+tokens.String()))
	})
}

// Guards against a correct file that is refused or read wrongly.
func TestCorrectAgent(t *testing.T) {
	convey.Convey("Given correct settings of an agent", t, func() {
		directory := t.TempDir()
		t.Chdir(directory)
		convey.So(os.WriteFile("SECRET", []byte("secret\n"), 0o600), convey.ShouldBeNil)
		convey.So(os.WriteFile("agent.ini", []byte(correctAgent), 0o600), convey.ShouldBeNil)
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

// Guards against access by a wrong token and against a name that is taken from
// another operator's line.
func TestTokens(t *testing.T) {
	convey.Convey("Given the tokens of two operators", t, func() {
		tokens, problems := ParseTokens("operators.tokens", "amina 8810ad581e59f2bc3928b261707a71308f7e139eb04820366dc4d5c18d980225\n"+
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

// write puts a certificate of the authority, its key and the authority into the
// directory, with the time of the last change.
func (authority authority) write(t *testing.T, directory string, serial int64, changed time.Time) {
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

func open(t *testing.T, directory string) *TLS {
	t.Helper()
	files, err := NewTLS(filepath.Join(directory, "certificate.pem"), filepath.Join(directory, "key.pem"), filepath.Join(directory, "authority.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// handshake returns the serial number that the client saw, or why either end
// refused the other.
func handshake(client, server *tls.Config) (int64, error) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	answered := make(chan error, 1)
	accepting := tls.Server(far, server)
	go func() {
		err := accepting.Handshake()
		if err == nil {
			_, err = accepting.Write([]byte{1})
		}
		_ = far.Close()
		answered <- err
	}()
	dialling := tls.Client(near, client)
	if _, err := dialling.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return dialling.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-answered
}

// Guards against a certificate that stays in use after it was renewed, against
// half-replaced files that stop new connections, and against peers of another
// authority.
func TestCertificatesAreReloaded(t *testing.T) {
	convey.Convey("Given two processes with certificates of one authority", t, func() {
		own, other := newAuthority(t), newAuthority(t)
		near, far, foreign := t.TempDir(), t.TempDir(), t.TempDir()
		start := time.Now().Add(-time.Minute)
		own.write(t, near, 2, start)
		own.write(t, far, 3, start)
		other.write(t, foreign, 4, start)
		client, server := open(t, near), open(t, far)
		serial, err := handshake(client.LinkConfig(), server.LinkConfig())
		convey.So(err, convey.ShouldBeNil)
		convey.So(serial, convey.ShouldEqual, 3)
		convey.Convey("a renewed certificate is used without a restart", func() {
			own.write(t, far, 5, start.Add(time.Second))
			server.nextAt = time.Time{}
			serial, err := handshake(client.LinkConfig(), server.LinkConfig())
			convey.So(err, convey.ShouldBeNil)
			convey.So(serial, convey.ShouldEqual, 5)
		})
		convey.Convey("a certificate that does not fit its key yet is not used", func() {
			convey.So(os.WriteFile(filepath.Join(far, "certificate.pem"), []byte("half"), 0o600), convey.ShouldBeNil)
			server.nextAt = time.Time{}
			serial, err := handshake(client.LinkConfig(), server.LinkConfig())
			convey.So(err, convey.ShouldBeNil)
			convey.So(serial, convey.ShouldEqual, 3)
		})
		convey.Convey("a peer of another authority is refused by either end", func() {
			_, err := handshake(open(t, foreign).LinkConfig(), server.LinkConfig())
			convey.So(err, convey.ShouldNotBeNil)
			_, err = handshake(client.LinkConfig(), open(t, foreign).LinkConfig())
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}
