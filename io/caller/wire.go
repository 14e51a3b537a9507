package caller

import (
	"strings"

	"cicadavalve/core/ident"
	"cicadavalve/io/engine"
)

// completionBody is the request body of both completion routes, in OpenAI's format.
type completionBody struct {
	Model     ident.ModelName `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	engine.Sampling
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// text returns the prompt, or the messages joined in order if there are any.
func (b *completionBody) text() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var s strings.Builder
	for _, m := range b.Messages {
		s.WriteString(m.Role)
		s.WriteString(": ")
		s.WriteString(m.Content)
		s.WriteString("\n")
	}
	return s.String()
}

// completionReply is a response or one of its chunks, in OpenAI's format.
type completionReply struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Model   ident.ModelName `json:"model"`
	Choices []choice        `json:"choices"`
	// SystemFingerprint is the version of the model's weights.
	SystemFingerprint ident.Version `json:"system_fingerprint,omitempty"`
	Usage             *usage        `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// replyFormat builds the replies to one request; chat selects the format of /v1/chat/completions.
type replyFormat struct {
	id    string
	model ident.ModelName
	chat  bool
}

func (s replyFormat) reply(c choice, chunk bool) completionReply {
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
	}
	if s.chat && chunk {
		object = "chat.completion.chunk"
	}
	return completionReply{ID: s.id, Object: object, Model: s.model, Choices: []choice{c}}
}

func (s replyFormat) choice(text string, chunk bool) choice {
	switch {
	case s.chat && chunk:
		return choice{Delta: &message{Content: text}}
	case s.chat:
		return choice{Message: &message{Role: "assistant", Content: text}}
	}
	return choice{Text: text}
}

func (s replyFormat) tokenReply(text string) completionReply {
	return s.reply(s.choice(text, true), true)
}

// finalReply returns the last reply, with usage and finish reason; text is empty if the tokens were streamed.
func (s replyFormat) finalReply(text string, chunk bool, a Answer) completionReply {
	c := s.choice(text, chunk)
	finish := a.finishReason()
	c.FinishReason = &finish
	r := s.reply(c, chunk)
	r.SystemFingerprint = a.Version
	r.Usage = &usage{a.Usage.PromptTokens, a.Usage.CompletionTokens, a.Usage.CachedTokens}
	return r
}

func (a Answer) finishReason() string { return "stop" }
