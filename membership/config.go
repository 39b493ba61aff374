package membership

import "time"

// Config holds the durations and limits of a State. Every instance of a fleet uses the same values.
type Config struct {
	// TickInterval is the time between calls of Tick, and the precision of all other durations. A shorter interval
	// costs processor time. Two ticks that are three or more intervals apart degrade the instance's own health score.
	TickInterval time.Duration
	// ProbeInterval is the time in which one member is probed and either acknowledges or becomes suspected. A shorter
	// interval detects failures sooner and costs proportionally more bytes, whatever the size of the fleet.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe waits before other members are asked to probe. It should be well above
	// the round-trip time between regions. The rest of ProbeInterval is left for the indirect probes.
	ProbeTimeout time.Duration
	// IndirectProbes is how many members are asked to probe. More of them get around a one-way loss of connectivity
	// more reliably, and cost bytes only when a direct probe has failed.
	IndirectProbes int
	// SuspicionMin is how long a suspected member has to refute once Confirmations other observers suspect it too. It
	// must allow an update to spread through the fleet and the refutation to come back. A shorter value detects
	// failures sooner, but also removes members that were only paused.
	SuspicionMin time.Duration
	// SuspicionMax is how long a suspected member has to refute while there is only one observer. A longer value
	// protects members from one faulty observer, and delays the detection of failures where there are few observers.
	SuspicionMax time.Duration
	// Confirmations is how many further observers reduce the time to refute from SuspicionMax to SuspicionMin.
	Confirmations int
	// MaxHealthScore is the highest value of the instance's own health score. Probe durations are multiplied by the
	// score plus one, so that an overloaded instance takes longer to suspect others.
	MaxHealthScore int
	// IsolatedAfter is how long an instance receives no message before it counts as isolated and no longer broadcasts
	// its suspicions.
	IsolatedAfter time.Duration
	// GossipInterval is the time between gossip rounds while there are updates to send.
	GossipInterval time.Duration
	// GossipFanout is how many members get the updates in one round. A larger fanout is faster and sends more
	// duplicates.
	GossipFanout int
	// UrgentFanout is how many members get urgent updates (drain, leave, tickets) at once, before the next round.
	UrgentFanout int
	// RetransmitFactor times the decimal logarithm of the fleet's size is how many times an instance sends one update.
	// Synchronization repairs what is missed in spite of this.
	RetransmitFactor int
	// GossipRate is the budget for updates and records in bytes per second, whatever the size of the fleet. Updates
	// over budget wait in the queue; urgent updates go first.
	GossipRate float64
	// GossipBurst is how many bytes of the budget may be spent at once, for example when a whole rack fails.
	GossipBurst float64
	// UrgentOverdraft is how many bytes urgent updates may borrow from the future budget.
	UrgentOverdraft float64
	// SelfUpdateInterval is the minimum time between two versions of the instance's own record, and
	// UrgentSelfUpdateInterval the minimum time before an urgent version. Changes in between are sent together. A
	// longer interval saves bytes when endpoints flap.
	SelfUpdateInterval       time.Duration
	UrgentSelfUpdateInterval time.Duration
	// AckRate and AckBurst limit the bytes spent on acknowledgements of probes, per second and at once.
	AckRate  float64
	AckBurst float64
	// ReadingRate and ReadingBurst limit the bytes spent on readings of the store, per second and at once. Readings over
	// budget are not sent; the instances that miss them read the store themselves.
	ReadingRate  float64
	ReadingBurst float64
	// PullTimeout is how long to wait for a requested record before another member is asked.
	PullTimeout time.Duration
	// SyncInterval is the mean time between synchronizations with a random member. A shorter interval repairs sooner
	// and costs one digest per synchronization.
	SyncInterval time.Duration
	// EarlySyncInterval is the mean time to the next synchronization after a budget is exhausted, a network partition
	// heals or an instance joins. In these cases a synchronization carries more per byte than single updates. A
	// shorter interval propagates mass changes sooner.
	EarlySyncInterval time.Duration
	// ViewMismatchTimeout is how long an unchanged view may differ from those of all other members before the instance
	// synchronizes. It must allow updates to spread; a shorter timeout repairs sooner and costs needless digests.
	ViewMismatchTimeout time.Duration
	// RejoinInterval is the mean time between probes of failed members, which detect a healed network partition.
	RejoinInterval time.Duration
	// JoinInterval is the mean time between attempts to join while no other member is known.
	JoinInterval time.Duration
	// LeftRetention is how long a member that left is remembered, so that a delayed update does not restore it.
	LeftRetention time.Duration
	// FailedRetention is how long a failed member is remembered and probed again. It should outlast an outage of the
	// platform, because during such an outage nothing else can rejoin the two sides of a network partition.
	FailedRetention time.Duration
	// MaxTombstones limits the number of members remembered after their end; the oldest are dropped first.
	MaxTombstones int
}

// DefaultConfig returns the durations and limits for fleets of up to a few thousand instances. With them, a failed
// instance is removed from every view within 15 s, and one that leaves within 2 s.
func DefaultConfig() Config {
	return Config{
		TickInterval:             100 * time.Millisecond,
		ProbeInterval:            time.Second,
		ProbeTimeout:             400 * time.Millisecond,
		IndirectProbes:           3,
		SuspicionMin:             3 * time.Second,
		SuspicionMax:             8 * time.Second,
		Confirmations:            3,
		MaxHealthScore:           7,
		IsolatedAfter:            3 * time.Second,
		GossipInterval:           200 * time.Millisecond,
		GossipFanout:             3,
		UrgentFanout:             6,
		RetransmitFactor:         3,
		GossipRate:               1024,
		GossipBurst:              64 << 10,
		UrgentOverdraft:          8 << 10,
		SelfUpdateInterval:       time.Second,
		UrgentSelfUpdateInterval: 200 * time.Millisecond,
		AckRate:                  2048,
		AckBurst:                 16 << 10,
		ReadingRate:              2048,
		ReadingBurst:             16 << 10,
		PullTimeout:              500 * time.Millisecond,
		SyncInterval:             30 * time.Second,
		EarlySyncInterval:        500 * time.Millisecond,
		ViewMismatchTimeout:      2 * time.Second,
		RejoinInterval:           5 * time.Second,
		JoinInterval:             time.Second,
		LeftRetention:            30 * time.Minute,
		FailedRetention:          24 * time.Hour,
		MaxTombstones:            4096,
	}
}

// The limits of data that is read from the network.
const (
	// maxDatagramBytes keeps a datagram within one Ethernet frame, with room for headers and the authentication code.
	maxDatagramBytes = 1360
	// maxRecordBytes limits one encoded record. Records larger than a datagram are sent by synchronization only.
	maxRecordBytes = 64 << 10
	// maxIDBytes, maxNameBytes and maxEndpoints limit the fields of a record.
	maxIDBytes   = 64
	maxNameBytes = 256
	maxEndpoints = 1024
	// maxUpdates limits the updates in one message, maxSyncUpdates those in one synchronization response.
	maxUpdates     = 128
	maxSyncUpdates = 16 << 10
	// maxSyncRecords limits the records in one call of a synchronization.
	maxSyncRecords = 256
	// maxPendingPulls limits the records requested at a time, maxRelayedProbes the probes made for other instances.
	// maxReadingMillis is the latest time of a reading, in Unix milliseconds.
	maxReadingMillis = 1 << 48
	maxPendingPulls  = 512
	maxRelayedProbes = 64
)
