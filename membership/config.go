package membership

import "time"

// Config holds the durations and bounds of a State. Every instance of a fleet uses the same.
type Config struct {
	// TickInterval is the time between calls of Tick. All other durations are kept to this precision. Shorter
	// ticks cost processor time; a tick that comes three intervals late counts against the instance's own health.
	TickInterval time.Duration
	// ProbeInterval is the time in which one member is probed and given a verdict. Shorter intervals find a
	// failure sooner and cost bytes in proportion, whatever the size of the fleet.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe waits before others are asked to probe. It should lie well above
	// the round trip between regions. The rest of ProbeInterval is left for the indirect probes.
	ProbeTimeout time.Duration
	// IndirectProbes is how many members are asked to probe. More find a way around a one-way cut more surely
	// and cost bytes only when a direct probe failed.
	IndirectProbes int
	// SuspicionMin is how long a suspected member has to refute once Confirmations others suspect it too. It
	// must allow one spread through the fleet and back. Shorter finds failures sooner and ejects paused members.
	SuspicionMin time.Duration
	// SuspicionMax is how long it has while nobody else suspects it. Longer protects members from one bad
	// observer and delays the verdict where few observe.
	SuspicionMax time.Duration
	// Confirmations is how many other observers bring the time down from SuspicionMax to SuspicionMin.
	Confirmations int
	// MaxHealthScore is the largest value of the instance's own health score. Probe durations are multiplied by
	// the score plus one, so that a loaded instance accuses others later.
	MaxHealthScore int
	// IsolatedAfter is how long an instance hears from nobody before it keeps its suspicions to itself.
	IsolatedAfter time.Duration
	// GossipInterval is the time between rounds of spreading while there is news.
	GossipInterval time.Duration
	// GossipFanout is how many members get the news in one round. More is faster and repeats more.
	GossipFanout int
	// UrgentFanout is how many members get urgent news (drain, leave, tickets) at once, before the next round.
	UrgentFanout int
	// RetransmitFactor times the decimal logarithm of the fleet's size is how often one news is sent. What
	// is missed all the same is repaired by synchronization.
	RetransmitFactor int
	// GossipRate is the budget for news and records in bytes per second, whatever the size of the fleet.
	// News beyond it waits; urgent news first.
	GossipRate float64
	// GossipBurst is how many bytes of the budget may be spent at once, for example when a rack is lost.
	GossipBurst float64
	// UrgentOverdraft is how many bytes urgent news may take of the budget's future.
	UrgentOverdraft float64
	// SelfUpdateInterval is the least time between two versions of the own record, SelfUrgentInterval that before one
	// which must go ahead. Changes in between travel together. Longer saves bytes when endpoints flap.
	SelfUpdateInterval       time.Duration
	UrgentSelfUpdateInterval time.Duration
	// AckRate and AnswerBurst bound the bytes spent on answers to probes, per second and at once.
	AckRate  float64
	AckBurst float64
	// PullTimeout is how long a requested record is awaited before another member is asked.
	PullTimeout time.Duration
	// SyncInterval is the mean time between synchronizations with a random member. Shorter repairs sooner
	// and costs a digest each time.
	SyncInterval time.Duration
	// EarlySyncInterval is the mean time to a synchronization when a budget is spent, a split healed or an instance
	// joined: then it carries more for its bytes than news do. Shorter brings mass changes round sooner.
	EarlySyncInterval time.Duration
	// ViewMismatchTimeout is how long a view that does not change may differ from all others before it synchronizes.
	// It must allow news their way; shorter repairs sooner and costs needless digests.
	ViewMismatchTimeout time.Duration
	// RejoinInterval is the time between probes of a failed member, by which a healed split is noticed.
	RejoinInterval time.Duration
	// JoinInterval is the time between tries to join while no other member is known.
	JoinInterval time.Duration
	// LeftRetention is how long a member that left is remembered, so that late news does not bring it back.
	LeftRetention time.Duration
	// FailedRetention is how long a failed member is remembered and probed again. It should outlast an outage of
	// the platform, after which nothing else joins two halves.
	FailedRetention time.Duration
	// MaxTombstones bounds the members remembered after their end; the oldest are dropped first.
	MaxTombstones int
}

// DefaultConfig returns the durations and bounds for fleets of up to a few thousand instances: a failed instance
// is out of every view within 15 s, one that leaves within 2 s.
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

// The bounds of what is read from the network.
const (
	// maxDatagramBytes keeps a datagram within one Ethernet frame, with room for headers and the seal.
	maxDatagramBytes = 1360
	// maxRecordBytes bounds one encoded record; larger ones than a datagram travel by synchronization.
	maxRecordBytes = 64 << 10
	// maxIDBytes, maxNameBytes and maxEndpoints bound the fields of a record.
	maxIDBytes   = 64
	maxNameBytes = 256
	maxEndpoints = 1024
	// maxNews bounds the news in one message, maxSyncNews that in one answer of a synchronization.
	maxNews     = 128
	maxSyncNews = 16 << 10
	// maxSyncRecords bounds the records in one call of a synchronization.
	maxSyncRecords = 256
	// maxWanted bounds the records awaited at a time, maxRelays the probes made for others.
	maxWanted = 512
	maxRelays = 64
)
