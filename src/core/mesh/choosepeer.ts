import type { Ms } from '../../base/index.js';
import { byRendezvous } from './byrendezvous.js';
import { draw } from './draw.js';
import { isSuspect } from './issuspect.js';
import type { MeshState } from './meshstate.js';
import { relayRank } from './relayrank.js';

/** One in this many pulls of an entry goes to a relay, so that a dead relay is noticed. */
const RELAY_SHARE = 8;
/** One in this many pulls of a sidecar goes to an entry, the others to sidecars of its service. */
const ENTRY_SHARE = 4;

interface PeerChoice {
  readonly state: MeshState;
  readonly peer: string | undefined;
}

function pick(state: MeshState, peers: readonly string[], nowMs: Ms): PeerChoice {
  const live = peers.filter((address) => !isSuspect(state, address, nowMs));
  const from = live.length > 0 ? live : peers;
  const { state: next, value } = draw(state, from.length);
  return { state: next, peer: from[value] };
}

function pickForEntry(state: MeshState, others: readonly string[], nowMs: Ms): PeerChoice {
  const rank = relayRank(state, nowMs);
  const { relayCount } = state.options;
  const isStandby = rank >= relayCount && rank < relayCount * 2;
  const { state: next, value } = draw(state, RELAY_SHARE);
  if (!isStandby && value > 0) return pick(next, others, nowMs);
  const live = others.filter((address) => !isSuspect(state, address, nowMs));
  return pick(next, live.length > 0 ? live.slice(0, relayCount) : others, nowMs);
}

function pickForSidecar(state: MeshState, others: readonly string[], nowMs: Ms): PeerChoice {
  const { sidecarEntries, sidecarPeers } = state.options;
  const { address } = state.self;
  const entries = byRendezvous(others, address).slice(0, sidecarEntries);
  const members = [...state.records.values()].flatMap((record) => record.members ?? []);
  const siblings = byRendezvous(members, address).filter((member) => member !== address);
  const { state: next, value } = draw(state, ENTRY_SHARE);
  const toEntry = value === 0 || siblings.length === 0 || state.catchUp.phase !== 'current';
  return pick(next, toEntry ? entries : siblings.slice(0, sidecarPeers), nowMs);
}

/** Chooses the peer of the next pull. While catching up, prefers peers that have not answered yet. */
export function choosePeer(state: MeshState, nowMs: Ms): PeerChoice {
  const others = state.entries
    .filter(({ id }) => id !== state.self.id)
    .map(({ address }) => address);
  if (others.length === 0) return { state, peer: undefined };
  if (state.self.role === 'sidecar') return pickForSidecar(state, others, nowMs);
  if (state.catchUp.phase === 'current') return pickForEntry(state, others, nowMs);
  const unanswered = others.filter((address) => !state.catchUp.readyPeers.includes(address));
  return pick(state, unanswered.length > 0 ? unanswered : others, nowMs);
}
