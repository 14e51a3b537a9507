package roll

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/core/roster"
)

// The kinds of records in the verdict stream that belong to version moves.
const (
	KindStep      ledger.Kind = "move_step"
	KindTakeBack  ledger.Kind = "move_take_back"
	KindKeep      ledger.Kind = "move_keep"
	KindEvidence  ledger.Kind = "move_evidence"
	KindClaim     ledger.Kind = "weight_claim"
	KindRelease   ledger.Kind = "weight_release"
	KindTokenKeep ledger.Kind = "weight_keep"
)

// MoveID names a move by what its rule says, so that it is the same on every
// entry and in every later version of the file that holds the same rule.
type MoveID string

// Move is what a rule orders.
type Move struct {
	ID    MoveID          `json:"id"`
	Model ident.ModelName `json:"model"`
	From  ident.Version   `json:"from"`
	To    ident.Version   `json:"to"`
	// By is the time by which the move is to be complete.
	By time.Time `json:"by"`
	// Share is the first step's share of new requests, in (0,1].
	Share float64 `json:"share"`
}

// StepBody is the body of [KindStep] and [KindKeep].
type StepBody struct {
	Move MoveID   `json:"move"`
	Of   Versions `json:"of"`
	// Number counts the steps from 1; a record that does not exceed the folded number is void.
	Number int     `json:"number"`
	Event  Event   `json:"event"`
	Phase  Phase   `json:"phase"`
	Share  float64 `json:"share"`
}

// Versions names the model and the versions of a move in a record.
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

// EvidenceBody is the body of [KindEvidence]: what an entry saw since its previous one.
type EvidenceBody struct {
	Move        MoveID        `json:"move"`
	Number      int           `json:"number"`
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	// Seq counts an incarnation's evidence of a move; a record that does not exceed the folded one is void.
	Seq   int64          `json:"seq"`
	Cells []CellEvidence `json:"cells"`
}

// CellEvidence is the evidence of one route and organisation.
type CellEvidence struct {
	Cell Cell   `json:"cell"`
	Old  Counts `json:"old"`
	New  Counts `json:"new"`
}

// Task is one order to an engine.
type Task struct {
	Upstream ident.UpstreamID `json:"upstream"`
	Action   Action           `json:"action"`
	Model    ident.ModelName  `json:"model"`
	Version  ident.Version    `json:"version"`
}

// Action is what an engine is ordered to do with weights.
type Action string

// The actions of orders.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// ClaimBody is the body of [KindClaim].
type ClaimBody struct {
	Token int `json:"token"`
	// After is the fencing number of the claim or release that this claim follows; another one voids it.
	After       int64         `json:"after"`
	Entry       ident.EntryID `json:"entry"`
	Incarnation ident.BootID  `json:"incarnation"`
	Task        Task          `json:"task"`
}

// ReleaseBody is the body of [KindRelease].
type ReleaseBody struct {
	Token int `json:"token"`
	// Fence is the fencing number of the claim that ends.
	Fence int64 `json:"fence"`
}

// TokenKeepBody is the body of [KindTokenKeep].
type TokenKeepBody struct {
	Token int       `json:"token"`
	Fence int64     `json:"fence"`
	Held  bool      `json:"held"`
	Claim ClaimBody `json:"claim"`
}

// AttemptMsg tells how an attempt at a completion went.
type AttemptMsg struct {
	Org     ident.OrgID     `json:"org"`
	Model   ident.ModelName `json:"model"`
	Class   ident.Class     `json:"class"`
	Version ident.Version   `json:"version"`
	Failed  bool            `json:"failed"`
	// Computed is the prompt tokens that were not in the upstream's cache.
	Computed int `json:"computed"`
	// First is the time to the first token and Between the mean time between tokens; 0 where not known.
	First   time.Duration `json:"first"`
	Between time.Duration `json:"between"`
}

// MembersMsg tells which entries are members.
type MembersMsg struct {
	Members []roster.Member `json:"members"`
}

// OrderedMsg tells how an order ended.
type OrderedMsg struct {
	Fence int64 `json:"fence"`
	// Known is true where the engine answered, with whatever status.
	Known bool `json:"known"`
}

// PeerTakeBackMsg says that a peer has taken a version back.
type PeerTakeBackMsg struct {
	Body TakeBackBody `json:"body"`
}

// AppendCmd asks to append a record to the verdict stream.
type AppendCmd struct {
	Record ledger.Record `json:"record"`
}

// OrderCmd asks to send an order to an engine, unless the time for it has passed.
type OrderCmd struct {
	Task    Task   `json:"task"`
	Address string `json:"address"`
	Fence   int64  `json:"fence"`
	// Until is when the order must have ended.
	Until time.Time `json:"until"`
}

// TellCmd asks to tell every peer of a version taken back.
type TellCmd struct {
	Body TakeBackBody `json:"body"`
}

// ChangedCmd says that a move's folded state changed.
type ChangedCmd struct {
	Move   MoveID  `json:"move"`
	Phase  Phase   `json:"phase"`
	Number int     `json:"number"`
	Share  float64 `json:"share"`
}

// LateCmd says that a move is not expected to be complete by its time.
type LateCmd struct {
	Move     MoveID    `json:"move"`
	By       time.Time `json:"by"`
	Expected time.Time `json:"expected"`
}
