import { hash32 } from '../hash/index.js';
import type { ReplicaCost } from './replicacost.js';
import { sampleSize } from './samplesize.js';

function sampled<Replica extends ReplicaCost>(
  replicas: readonly Replica[],
  size: number,
  requestId: string,
): readonly Replica[] {
  const ranked = replicas.map((replica) => ({ replica, rank: hash32(requestId + replica.id) }));
  ranked.sort((a, b) => a.rank - b.rank);
  return ranked.slice(0, size).map(({ replica }) => replica);
}

/** The one of least cost among a sample of the good ones, another sample for each request; undefined if there is none. */
export function pickReplica<Replica extends ReplicaCost>(
  replicas: readonly Replica[],
  entries: number,
  requestId: string,
): Replica | undefined {
  const good = replicas.filter(({ isGood }) => isGood);
  const size = sampleSize(good.length, entries);
  const open = good.length > 0 ? good : replicas;
  const weighed = good.length > size ? sampled(good, size, requestId) : open;
  let best: Replica | undefined;
  for (const replica of weighed) {
    if (!best || replica.cost < best.cost) best = replica;
  }
  return best;
}
