package settings

// DSRProcess holds the keys that the daemons of pass-through services (direct server return) share.
type DSRProcess struct {
	Process
	// PacketAddress is the UDP address for packets. Packets for a caller go to the caller's address and this port.
	// Required.
	PacketAddress string `toml:"packet_address"`
	// MessagePort is the UDP port at which balancers receive messages from agents and from each other, and the TCP port
	// at which they send each other their configuration. It is the same on every VM. Required.
	MessagePort int `toml:"message_port"`
	// Seeds are addresses of the VMs of some balancers; only the IP addresses are used. May be empty.
	Seeds []string `toml:"seeds"`
	// FirstStart is set at the first start of the whole system, when no flow can be older than the process and no balancer
	// has registered in the object API.
	FirstStart bool `toml:"first_start"`
	// ReadyAddress is the TCP address of the readiness check. Required.
	ReadyAddress string `toml:"ready_address"`
	// GraceTime is the maximum duration of a graceful shutdown. Default 6s.
	GraceTime Duration `toml:"grace_time"`
	// Log and ObjectAPI are the common sections.
	Log       Log       `toml:"log"`
	ObjectAPI ObjectAPI `toml:"object_api"`
}

func (p DSRProcess) LogSettings() Log {
	return p.Log
}

func defaultDSRProcess() DSRProcess {
	return DSRProcess{GraceTime: NewDuration(defaultGraceTime), Log: DefaultLog(), ObjectAPI: DefaultObjectAPI()}
}

func (p DSRProcess) check(m *mistakes) {
	p.Process.check(m)
	m.bind("packet_address", p.PacketAddress)
	m.within("message_port", p.MessagePort, 0, maxPort)
	m.peers("seeds", p.Seeds)
	m.bind("ready_address", p.ReadyAddress)
	m.duration("grace_time", p.GraceTime, minGraceTime, maxGraceTime)
	p.Log.check(m)
	p.ObjectAPI.check(m)
}
