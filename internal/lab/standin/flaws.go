package standin

// Flaw is what a stand-in does wrong.
type Flaw string

// The flaws.
const (
	None     Flaw = ""
	Twice    Flaw = "sends while an attempt is out"
	Late     Flaw = "repeats outside the window"
	Waits    Flaw = "ignores waits"
	Drains   Flaw = "goes on sending to endpoints that drain"
	Bans     Flaw = "goes on sending to endpoints that are out by hand"
	Forgets  Flaw = "never ends one message in ten"
	TwoEnds  Flaw = "tells a second end of what was delivered"
	Lies     Flaw = "counts what it did not serve"
	Changes  Flaw = "changes bodies"
	Strays   Flaw = "sends to another destination"
	Endless  Flaw = "has no limit of attempts"
	Dies     Flaw = "ends unasked"
	Invented Flaw = "sends what nobody handed in"
	Patient  Flaw = "waits for ever for what a peer has to say"
	Welcomes Flaw = "takes on what is no message"
	HangsUp  Flaw = "closes the connection of one request in ten that it has read"
	Tardy    Flaw = "tells of ends half a second late"
)

// Env names the variable that has a stand-in's flaw.
const Env = "LARCHLAB_STANDIN"
