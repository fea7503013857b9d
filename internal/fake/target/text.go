package target

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// Words is the number of words in an answer if the request sets no limit.
const Words = 12

// Answer returns the text with which every engine answers a user's last message. It is derived from
// the question, so that a caller can check that it received the complete answer to its own request.
func Answer(question string, words int) string {
	return strings.Join(answerWords(question, words), "")
}

func answerWords(question string, words int) []string {
	sum := sha256.Sum256([]byte(question))
	tag := hex.EncodeToString(sum[:4])
	out := make([]string, words)
	for i := range out {
		out[i] = tag + "." + strconv.Itoa(i) + " "
	}
	return out
}
