package standin

// Flaw is a rule that a stand-in breaks on purpose.
type Flaw string

// The flaws of stand-ins.
const (
	NoFlaw               Flaw = ""
	DuplicateAttempts    Flaw = "sends while an attempt is in flight"
	RepeatsOutsideWindow Flaw = "repeats outside the window"
	IgnoresWaits         Flaw = "ignores waits"
	SendsToDraining      Flaw = "continues to send to draining endpoints"
	SendsToDisabled      Flaw = "continues to send to manually disabled endpoints"
	LosesMessages        Flaw = "loses one message in ten"
	NoticeAfterDelivery  Flaw = "sends a notice for delivered messages"
	MiscountsServed      Flaw = "counts messages that it did not serve"
	AltersBodies         Flaw = "changes bodies"
	WrongDestination     Flaw = "sends to another destination"
	UnlimitedAttempts    Flaw = "has no limit on attempts"
	ExitsUnasked         Flaw = "exits without being asked"
	InventsMessages      Flaw = "sends messages that no client submitted"
	NoReadTimeout        Flaw = "waits without limit for a peer to send"
	AcceptsInvalid       Flaw = "accepts invalid messages"
	ClosesAfterReading   Flaw = "closes the connection of one request in ten after reading it"
	LateNotices          Flaw = "sends notices half a second late"
)

// FlawEnv is the environment variable that holds the flaw of a stand-in.
const FlawEnv = "LARCHLAB_STANDIN"
