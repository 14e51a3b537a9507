package roll

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/roster"
)

// The record kinds of version moves in the verdict stream.
const (
	KindStep      ledger.Kind = "move_step"
	KindTakeBack  ledger.Kind = "move_take_back"
	KindKeep      ledger.Kind = "move_keep"
	KindEvidence  ledger.Kind = "move_evidence"
	KindClaim     ledger.Kind = "weight_claim"
	KindRelease   ledger.Kind = "weight_release"
	KindTokenKeep ledger.Kind = "weight_keep"
)

// MoveID identifies a move by the contents of its rule, so that it is the same on every
// entry and in every later version of the file with the same rule.
type MoveID string

// Move is a version move as ordered by a rule.
type Move struct {
	ID    MoveID          `json:"id"`
	Model ident.ModelName `json:"model"`
	From  ident.Version   `json:"from"`
	To    ident.Version   `json:"to"`
	// By is the deadline for the completion of the move.
	By time.Time `json:"by"`
	// Share is the first step's share of new requests, in (0,1].
	Share float64 `json:"share"`
}

// StepBody is the body of [KindStep] and [KindKeep].
type StepBody struct {
	Move MoveID   `json:"move"`
	Of   Versions `json:"of"`
	// Number counts the steps from 1; a [KindStep] record whose number is not above the last folded one is ignored.
	Number int     `json:"number"`
	Event  Event   `json:"event"`
	Phase  Phase   `json:"phase"`
	Share  float64 `json:"share"`
}

// Versions identifies the model and the versions of a move in a record.
type Versions struct {
	Name ident.ModelName `json:"name"`
	From ident.Version   `json:"from"`
	To   ident.Version   `json:"to"`
}

// TakeBackBody is the body of [KindTakeBack].
type TakeBackBody struct {
	Move   MoveID        `json:"move"`
	Of     Versions      `json:"of"`
	Entry  ident.EntryID `json:"entry"`
	Reason Reason        `json:"reason"`
}

// EvidenceBody is the body of [KindEvidence]: an entry's evidence since its previous record.
type EvidenceBody struct {
	Move        MoveID        `json:"move"`
	Number      int           `json:"number"`
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	// Seq counts an incarnation's records on a move; one that is not above the last folded one is ignored.
	Seq   int64          `json:"seq"`
	Cells []CellEvidence `json:"cells"`
}

// CellEvidence is the evidence on one cell.
type CellEvidence struct {
	Cell Cell   `json:"cell"`
	Old  Counts `json:"old"`
	New  Counts `json:"new"`
}

// Task is the contents of an order to an engine.
type Task struct {
	Upstream ident.UpstreamID `json:"upstream"`
	Action   Action           `json:"action"`
	Model    ident.ModelName  `json:"model"`
	Version  ident.Version    `json:"version"`
}

// Action is the operation on weights that an order requests.
type Action string

// The actions of orders.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// ClaimBody is the body of [KindClaim].
type ClaimBody struct {
	Token int `json:"token"`
	// After is the token's fencing number on which the claim is made; if it has changed, the claim is ignored.
	After       int64         `json:"after"`
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	Task        Task          `json:"task"`
}

// ReleaseBody is the body of [KindRelease].
type ReleaseBody struct {
	Token int `json:"token"`
	// Fence is the fencing number of the claim to end.
	Fence int64 `json:"fence"`
}

// TokenKeepBody is the body of [KindTokenKeep].
type TokenKeepBody struct {
	Token int       `json:"token"`
	Fence int64     `json:"fence"`
	Held  bool      `json:"held"`
	Claim ClaimBody `json:"claim"`
}

// AttemptMsg reports the result of an attempt at a completion.
type AttemptMsg struct {
	Org     ident.OrgID     `json:"org"`
	Model   ident.ModelName `json:"model"`
	Class   ident.Class     `json:"class"`
	Version ident.Version   `json:"version"`
	Failed  bool            `json:"failed"`
	// Computed is the number of prompt tokens that were not in the upstream's cache.
	Computed int `json:"computed"`
	// First is the time to the first token and Between the mean time between tokens; 0 if not known.
	First   time.Duration `json:"first"`
	Between time.Duration `json:"between"`
}

// MembersMsg carries the current members of the roster.
type MembersMsg struct {
	Members []roster.Member `json:"members"`
}

// OrderedMsg reports the end of an order.
type OrderedMsg struct {
	Fence int64 `json:"fence"`
	// Answered is true if the engine answered, with any status.
	Answered bool `json:"known"`
}

// PeerTakeBackMsg is a peer's notice that it has taken a version back.
type PeerTakeBackMsg struct {
	Body TakeBackBody `json:"body"`
}

// AppendCmd requests to append a record to the verdict stream.
type AppendCmd struct {
	Record ledger.Record `json:"record"`
}

// OrderCmd requests to send an order to an engine, unless Until has passed.
type OrderCmd struct {
	Task    Task   `json:"task"`
	Address string `json:"address"`
	Fence   int64  `json:"fence"`
	// Until is the deadline by which the order must have ended.
	Until time.Time `json:"until"`
}

// TellCmd requests to notify every peer of a version taken back.
type TellCmd struct {
	Body TakeBackBody `json:"body"`
}

// ChangedCmd reports that a move's folded state has changed.
type ChangedCmd struct {
	Move   MoveID  `json:"move"`
	Phase  Phase   `json:"phase"`
	Number int     `json:"number"`
	Share  float64 `json:"share"`
}

// LateCmd reports that a move is not expected to be complete by its deadline.
type LateCmd struct {
	Move     MoveID    `json:"move"`
	By       time.Time `json:"by"`
	Expected time.Time `json:"expected"`
}
