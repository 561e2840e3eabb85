package processes

// This file reads the tokens of operators. The file holds only hashes, so that
// reading it gives no access.

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"os"
	"strings"

	"firford/lib/findings"
)

type (
	// OperatorTokens identifies operators by the SHA-256 hash of their bearer
	// token. The zero value accepts no token.
	OperatorTokens struct {
		all []operatorToken
	}

	operatorToken struct {
		name string
		hash [sha256.Size]byte
	}
)

// Operator returns the name of the operator who holds the token. It compares
// the token's hash with all hashes in constant time, so that its duration
// reveals nothing about them.
func (tokens OperatorTokens) Operator(token string) (string, bool) {
	given := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, each := range tokens.all {
		if subtle.ConstantTimeCompare(given[:], each.hash[:]) == 1 {
			name, found = each.name, true
		}
	}
	return name, found
}

// ParseOperatorTokens parses lines that consist of a name and a hash in hex. It
// skips empty lines and lines that start with #. path is only used to name the
// place of a finding.
func ParseOperatorTokens(path, text string) (OperatorTokens, findings.List) {
	var tokens OperatorTokens
	var problems findings.List
	names := map[string]bool{}
	for i, source := range strings.Split(text, "\n") {
		line := strings.TrimSpace(source)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		token, problem := parseOperatorToken(line)
		if problem == "" && names[token.name] {
			problem = "an operator is named twice"
		}
		if problem != "" {
			problems = problems.With(findings.Finding{
				Position: findings.Position{File: path, Line: i + 1}, Text: problem,
				Allowed: "a name, a space and the SHA-256 of the token in 64 hex digits",
			})
			continue
		}
		names[token.name] = true
		tokens.all = append(tokens.all, token)
	}
	return tokens, problems
}

func parseOperatorToken(line string) (operatorToken, string) {
	fields := strings.Fields(line)
	if len(fields) != 2 {
		return operatorToken{}, "not two fields"
	}
	raw, err := hex.DecodeString(fields[1])
	if err != nil || len(raw) != sha256.Size {
		return operatorToken{}, "the second field is not a hash"
	}
	return operatorToken{name: fields[0], hash: [sha256.Size]byte(raw)}, ""
}

func readOperatorTokens(path string) (OperatorTokens, findings.List) {
	body, err := os.ReadFile(path)
	if err != nil {
		return OperatorTokens{}, findings.List{}.With(findings.Finding{
			Position: findings.Position{File: path}, Key: "operators.tokens_file",
			Text: "file can't be read", Found: path, Allowed: "a readable file",
		})
	}
	tokens, problems := ParseOperatorTokens(path, string(body))
	if problems.Len() == 0 && len(tokens.all) == 0 {
		problems = problems.With(findings.Finding{
			Position: findings.Position{File: path}, Text: "no operator", Allowed: "at least one line",
		})
	}
	return tokens, problems
}
