package target

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// Words is the number of words in an answer when the request does not say.
const Words = 12

// Answer is the text that every engine gives to a user's last message, so that a
// caller can tell whether it got the whole answer to its own request.
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
