package agent

import "github.com/uber-go/tally/v4"

// metrics holds the agent's counters. Each kind of invalid datagram is counted under its own reason.
type metrics struct {
	datagrams, delivered, forwarded, offered, declined, dropped, refused             tally.Counter
	placed, neverOpened, conflictsLost, viewRefused                                  tally.Counter
	truncated, foreign, unknownSender, unknownKind, wrongService, badPacket, badFlow tally.Counter
	control, learned, sendErrors, receiveErrors, peerRefused                         tally.Counter
	fabricPackets, fabricErrors, muted                                               tally.Counter
	targetDials, targetFailures, targetDied                                          tally.Counter
	openFlows                                                                        tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	s = s.SubScope("agent")
	reason := func(r string) tally.Counter {
		return s.Tagged(map[string]string{"reason": r}).Counter("bad_datagrams")
	}
	action := func(r string) tally.Counter {
		return s.Tagged(map[string]string{"decision": r}).Counter("decisions")
	}
	return metrics{
		datagrams:      s.Counter("datagrams"),
		delivered:      action("deliver"),
		forwarded:      action("forward"),
		offered:        action("offer"),
		declined:       action("decline"),
		dropped:        action("drop"),
		refused:        action("refuse"),
		placed:         s.Counter("flows_placed"),
		neverOpened:    s.Counter("flows_never_opened"),
		conflictsLost:  s.Counter("flows_owned_elsewhere"),
		viewRefused:    s.Counter("views_refused"),
		truncated:      reason("truncated"),
		foreign:        reason("foreign"),
		unknownSender:  reason("unknown-sender"),
		unknownKind:    reason("unknown-kind"),
		wrongService:   reason("wrong-service"),
		badPacket:      reason("packet"),
		badFlow:        reason("flow-hash"),
		control:        s.Counter("control_messages"),
		learned:        s.Counter("owners_taught"),
		sendErrors:     s.Counter("send_errors"),
		receiveErrors:  s.Counter("receive_errors"),
		peerRefused:    s.Counter("refused_by_peer_hosts"),
		fabricPackets:  s.Counter("fabric_packets"),
		fabricErrors:   s.Counter("fabric_errors"),
		muted:          s.Counter("packets_not_owned"),
		targetDials:    s.Counter("target_dials"),
		targetFailures: s.Counter("target_dial_failures"),
		targetDied:     s.Counter("flows_broken_by_target"),
		openFlows:      s.Gauge("open_flows"),
	}
}
